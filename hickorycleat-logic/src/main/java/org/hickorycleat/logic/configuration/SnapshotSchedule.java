package org.hickorycleat.logic.configuration;

import io.reactivex.rxjava3.core.Scheduler;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import org.hickorycleat.model.configuration.ConfigurationHistory;

/**
 * Decides when a snapshot is due. The age of a copy counts from when this process read it, so that
 * it depends on no clock but its own; each process adds a random part of up to a quarter, so that
 * the first to append saves the others from it.
 */
final class SnapshotClock {
    private static final double JITTER_SHARE = 0.25;

    private final SnapshotPolicy mPolicy;
    private final Random mRandom;
    private final Scheduler mScheduler;
    private long mCopyOffset = Long.MIN_VALUE;
    private long mDueAtMs;

    SnapshotClock(SnapshotPolicy policy, Random random, Scheduler scheduler) {
        mPolicy = policy;
        mRandom = random;
        mScheduler = scheduler;
    }

    /** Tells whether a snapshot is due; to be called at least every tenth of the maximum age. */
    boolean isDue(ConfigurationHistory history) {
        if (!history.isVersionKnown() || history.nextOffset() == 0) {
            return false;
        }
        long now = mScheduler.now(TimeUnit.MILLISECONDS);
        if (history.lastSnapshotOffset() != mCopyOffset) {
            boolean isFirstLook = mCopyOffset == Long.MIN_VALUE;
            mCopyOffset = history.lastSnapshotOffset();
            mDueAtMs = now + (isFirstLook ? startDelayMs() : ageMs());
        }
        return now >= mDueAtMs || history.nextOffset() - mCopyOffset > mPolicy.maximumRecords();
    }

    /** Restarts the wait after an append, whose record has not been read back yet. */
    void appended() {
        long now = mScheduler.now(TimeUnit.MILLISECONDS);
        if (now >= mDueAtMs) {
            mDueAtMs = now + ageMs();
        }
    }

    private long startDelayMs() {
        return (long) (mRandom.nextDouble() * mPolicy.startDelay().toMillis());
    }

    private long ageMs() {
        long age = mPolicy.maximumAge().toMillis();
        return age + (long) (mRandom.nextDouble() * age * JITTER_SHARE);
    }
}
