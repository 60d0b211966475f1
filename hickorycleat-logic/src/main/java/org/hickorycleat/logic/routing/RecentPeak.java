package org.hickorycleat.logic.routing;

/** Highest value of the last one to two periods. */
final class RecentPeak {
    /** As long as reports are late. */
    private static final long PERIOD_MS = 1_000;

    private long mPeriodStartMs = Long.MIN_VALUE / 2;
    private int mCurrent;
    private int mPrevious;

    void record(int value, long nowMs) {
        roll(nowMs);
        mCurrent = Math.max(mCurrent, value);
    }

    int value(long nowMs) {
        roll(nowMs);
        return Math.max(mCurrent, mPrevious);
    }

    private void roll(long nowMs) {
        long elapsedMs = nowMs - mPeriodStartMs;
        if (elapsedMs < PERIOD_MS) {
            return;
        }
        mPrevious = elapsedMs < 2 * PERIOD_MS ? mCurrent : 0;
        mCurrent = 0;
        mPeriodStartMs = nowMs;
    }
}
