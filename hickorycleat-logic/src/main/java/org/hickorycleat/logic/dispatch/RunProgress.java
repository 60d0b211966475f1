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

    /** Factor from the longest expected time between two percents to the timeout. */
    private static final double TIMEOUT_FACTOR = 1.5;

    /** Factor from the longest time between two percents of the run itself to the timeout. */
    private static final int OWN_PACE_FACTOR = 3;

    /** Number of changes after which at least one time between two percents was seen whole. */
    private static final int KNOWN_PACE_CHANGES = 2;

    /** Limit of the number of doublings of the timeout. */
    private static final int MAXIMUM_DOUBLINGS = 16;

    private int mPercent;
    private int mFirstPercent = -1;
    private long mFirstPercentAtMs;
    private long mLastProgressAtMs;
    private long mSampledAtMs;
    private long mLongestPauseMs;
    private int mChanges;

    /** Updates the progress from a sample that arrived at the given time, in milliseconds. */
    void onSample(int percent, long nowMs) {
        if (mFirstPercent < 0) {
            mFirstPercent = percent;
            mFirstPercentAtMs = nowMs;
            mLastProgressAtMs = nowMs;
        } else if (percent != mPercent) {
            mLongestPauseMs = Math.max(mLongestPauseMs, stalledMs());
            mLastProgressAtMs = nowMs;
            mChanges++;
        }
        mPercent = percent;
        mSampledAtMs = nowMs;
    }

    /** Records that the run had too few processors to show progress by the given time. */
    void onThrottled(long nowMs) {
        mLastProgressAtMs = nowMs;
    }

    /** Returns whether any sample has arrived. */
    boolean isSampled() {
        return mFirstPercent >= 0;
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

    /**
     * Returns whether the samples have shown no progress for longer than a run that is at work can.
     *
     * @param estimateMs estimated duration of the task, in milliseconds
     * @param earlierStalls number of runs of the task that were taken for stalled; each doubles the
     *     timeout, because the task may take longer than estimated by any factor
     */
    boolean isStalled(long estimateMs, int earlierStalls) {
        return stalledMs()
                > stallTimeoutMs(estimateMs) << Math.min(earlierStalls, MAXIMUM_DOUBLINGS);
    }

    private long stallTimeoutMs(long estimateMs) {
        double expectedMs =
                mChanges >= KNOWN_PACE_CHANGES
                        ? 0
                        : estimateMs * RunTimeRatios.MAXIMUM_RATIO / FULL_PERCENT * TIMEOUT_FACTOR;
        return Math.max(
                MINIMUM_STALL_TIMEOUT_MS,
                Math.max((long) expectedMs, OWN_PACE_FACTOR * mLongestPauseMs));
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
