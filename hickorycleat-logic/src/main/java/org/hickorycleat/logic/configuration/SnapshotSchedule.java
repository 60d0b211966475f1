package org.hickorycleat.logic.configuration;

import io.reactivex.rxjava3.core.Scheduler;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import org.hickorycleat.model.configuration.ConfigurationHistory;

/**
 * Decides when a snapshot is due. The age of a snapshot counts from when this process read it, so
 * that it depends only on the local clock. Each process adds random jitter of up to a quarter, so
 * that the others find the snapshot of the first and need not append their own.
 */
final class SnapshotSchedule {
    private static final double JITTER_FRACTION = 0.25;

    private final SnapshotPolicy mPolicy;
    private final Random mRandom;
    private final Scheduler mScheduler;
    private long mSnapshotOffset = Long.MIN_VALUE;
    private long mDueAtMs;

    SnapshotSchedule(SnapshotPolicy policy, Random random, Scheduler scheduler) {
        mPolicy = policy;
        mRandom = random;
        mScheduler = scheduler;
    }

    /**
     * Returns whether a snapshot is due; must be called at least every tenth of the maximum age.
     */
    boolean isDue(ConfigurationHistory history) {
        if (!history.isVersionKnown() || history.nextOffset() == 0) {
            return false;
        }
        long now = mScheduler.now(TimeUnit.MILLISECONDS);
        if (history.lastSnapshotOffset() != mSnapshotOffset) {
            boolean isFirstCheck = mSnapshotOffset == Long.MIN_VALUE;
            mSnapshotOffset = history.lastSnapshotOffset();
            mDueAtMs = now + (isFirstCheck ? startDelayMs() : maximumAgeWithJitterMs());
        }
        return now >= mDueAtMs || history.nextOffset() - mSnapshotOffset > mPolicy.maximumRecords();
    }

    /** Restarts the delay after an append, because its record has not been read back yet. */
    void onAppended() {
        long now = mScheduler.now(TimeUnit.MILLISECONDS);
        if (now >= mDueAtMs) {
            mDueAtMs = now + maximumAgeWithJitterMs();
        }
    }

    private long startDelayMs() {
        return (long) (mRandom.nextDouble() * mPolicy.startDelay().toMillis());
    }

    private long maximumAgeWithJitterMs() {
        long age = mPolicy.maximumAge().toMillis();
        return age + (long) (mRandom.nextDouble() * age * JITTER_FRACTION);
    }
}
