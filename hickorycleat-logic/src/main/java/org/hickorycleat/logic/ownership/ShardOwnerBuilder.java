package org.hickorycleat.logic.ownership;

import io.reactivex.rxjava3.core.Scheduler;
import io.reactivex.rxjava3.schedulers.Schedulers;
import java.time.InstantSource;
import org.hickorycleat.logic.placement.PlacementPolicy;
import org.hickorycleat.model.identifier.ShardNumber;

/** Builds a {@link ShardOwner}. */
public final class ShardOwnerBuilder {
    private final ShardNumber mShard;
    private final OwnerIdentity mSelf;
    private final PlacementPolicy mPolicy;
    private OwnerSettings mSettings = OwnerSettings.DEFAULT;
    private Scheduler mScheduler = Schedulers.computation();
    private InstantSource mWallClock = InstantSource.system();

    ShardOwnerBuilder(ShardNumber shard, OwnerIdentity self, PlacementPolicy policy) {
        mShard = shard;
        mSelf = self;
        mPolicy = policy;
    }

    /** Sets times and limits. */
    public ShardOwnerBuilder settings(OwnerSettings settings) {
        mSettings = settings;
        return this;
    }

    /** Sets the scheduler whose clock measures leases; it must be monotonic. */
    public ShardOwnerBuilder scheduler(Scheduler scheduler) {
        mScheduler = scheduler;
        return this;
    }

    /** Sets the wall clock for recorded times. */
    public ShardOwnerBuilder wallClock(InstantSource clock) {
        mWallClock = clock;
        return this;
    }

    /** Builds the owner. */
    public ShardOwner build() {
        return new ShardOwner(this);
    }

    ShardNumber shard() {
        return mShard;
    }

    OwnerIdentity self() {
        return mSelf;
    }

    PlacementPolicy policy() {
        return mPolicy;
    }

    OwnerSettings settings() {
        return mSettings;
    }

    Scheduler scheduler() {
        return mScheduler;
    }

    InstantSource wallClock() {
        return mWallClock;
    }
}
