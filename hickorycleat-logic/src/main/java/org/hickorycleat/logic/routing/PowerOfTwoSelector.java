package org.hickorycleat.logic.routing;

import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentMap;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.Predicate;
import org.hickorycleat.logic.membership.TargetDirectory;
import org.hickorycleat.logic.membership.TargetView;
import org.hickorycleat.model.identifier.Incarnation;
import org.hickorycleat.model.identifier.ServiceName;
import org.hickorycleat.model.identifier.ZoneId;
import org.hickorycleat.model.message.LoadSignal;
import org.hickorycleat.model.result.ResultCode;

/** Chooses the better of two random targets by load and latency, without outliers. */
public final class PowerOfTwoSelector implements TargetSelector {
    private final TargetDirectory mDirectory;
    private final ZoneId mOwnZone;
    private final RoutingSettings mSettings;
    private final long mSeed;
    private final ConcurrentMap<ServiceName, RouteShard> mShards = new ConcurrentHashMap<>();

    /** Creates a selector for an entry in an availability zone; the seed fixes its choices. */
    public PowerOfTwoSelector(
            TargetDirectory directory, ZoneId ownZone, RoutingSettings settings, long seed) {
        mDirectory = directory;
        mOwnZone = ownZone;
        mSettings = settings;
        mSeed = seed;
    }

    @Override
    public Optional<TargetReservation> reserve(
            ServiceName service, Predicate<TargetAddress> eligible) {
        List<TargetView> ready = mDirectory.readyTargets(service);
        // Evaluated before the lock of the shard is taken: the predicate is foreign code.
        Set<TargetAddress> eligibleTargets = new HashSet<>();
        for (TargetView view : ready) {
            if (eligible.test(view.address())) {
                eligibleTargets.add(view.address());
            }
        }
        if (eligibleTargets.isEmpty()) {
            return Optional.empty();
        }
        RouteShard shard = mShards.computeIfAbsent(service, this::createShard);
        return shard.reserve(ready, eligibleTargets, mDirectory.liveEntries(), mDirectory.nowMs())
                .map(reserved -> new Reservation(shard, reserved));
    }

    /** Tells whether a target is ejected as an outlier. */
    public boolean isEjected(TargetAddress target) {
        RouteShard shard = mShards.get(target.service());
        return shard != null && shard.isEjected(target);
    }

    /** Returns the measured state of the targets of a service, for the dump. */
    public List<RouteStatus> status(ServiceName service) {
        RouteShard shard = mShards.get(service);
        return shard == null ? List.of() : shard.status(mDirectory.nowMs());
    }

    /** Drops the state of targets that the directory has forgotten; called now and then. */
    public void removeGoneTargets() {
        mShards.forEach(
                (service, shard) -> {
                    Set<TargetAddress> known = new HashSet<>();
                    mDirectory.targets(service).forEach(view -> known.add(view.address()));
                    shard.retain(known);
                });
    }

    private RouteShard createShard(ServiceName service) {
        return new RouteShard(mSettings, mOwnZone, mSeed ^ service.value().hashCode());
    }

    private final class Reservation implements TargetReservation {
        private final RouteShard mShard;
        private final RouteShard.Reserved mReserved;
        private final AtomicBoolean mReleased = new AtomicBoolean();

        Reservation(RouteShard shard, RouteShard.Reserved reserved) {
            mShard = shard;
            mReserved = reserved;
        }

        @Override
        public TargetAddress target() {
            return mReserved.view().address();
        }

        @Override
        public void release(ResultCode code, Optional<LoadSignal> load, long latencyMicros) {
            if (!mReleased.compareAndSet(false, true)) {
                return;
            }
            mShard.release(mReserved, AnswerKind.of(code), latencyMicros, mDirectory.nowMs());
            Incarnation incarnation = mReserved.view().incarnation();
            load.ifPresent(signal -> mDirectory.onLoadSignal(target(), incarnation, signal));
            if (code == ResultCode.TARGET_LEAVING) {
                mDirectory.onTargetLeaving(target(), incarnation);
            }
        }
    }
}
