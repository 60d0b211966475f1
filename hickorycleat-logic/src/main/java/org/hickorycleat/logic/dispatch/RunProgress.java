package org.hickorycleat.logic.dispatch;

/**
 * Tracks the progress of a run in the samples of its worker.
 *
 * <p>A sample has whole percents only, so the time between two of them depends on the duration of
 * the task. A run counts as stalled when its samples show no progress for longer than that time can
 * be.
 */
final class RunProgress {
    private static final int FULL_PERCENT = 100;

    /**
     * Shortest time without progress after which a run counts as stalled, in milliseconds; several
     * intervals of samples.
     */
    static final long MINIMUM_STALL_TIMEOUT_MS = 1_500;

    private int mPercent;
    private int mFirstPercent = -1;
    private long mFirstPercentAtMs;
    private long mLastProgressAtMs;
    private long mSampledAtMs;

    /** Updates the progress from a sample that arrived at the given time, in milliseconds. */
    void onSample(int percent, long nowMs) {
        if (mFirstPercent < 0) {
            mFirstPercent = percent;
            mFirstPercentAtMs = nowMs;
            mLastProgressAtMs = nowMs;
        } else if (percent != mPercent) {
            mLastProgressAtMs = nowMs;
        }
        mPercent = percent;
        mSampledAtMs = nowMs;
    }

    int percent() {
        return mPercent;
    }

    /** Returns when the first sample arrived, in milliseconds. */
    long firstSampleAtMs() {
        return mFirstPercentAtMs;
    }

    /** Returns when the last sample arrived, in milliseconds. */
    long sampledAtMs() {
        return mSampledAtMs;
    }

    /** Returns how long the samples have shown no progress, in milliseconds. */
    long stalledMs() {
        return mSampledAtMs - mLastProgressAtMs;
    }

    /** Returns whether the samples have shown no progress for long. */
    boolean isStalled() {
        return stalledMs() > MINIMUM_STALL_TIMEOUT_MS;
    }

    /** Returns the remaining time at the average rate so far, in milliseconds; -1 if unknown. */
    long remainingMs(long nowMs) {
        int progressed = mPercent - mFirstPercent;
        if (mFirstPercent < 0 || progressed <= 0) {
            return -1;
        }
        return (nowMs - mFirstPercentAtMs) * (FULL_PERCENT - mPercent) / progressed;
    }
}
