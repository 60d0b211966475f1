package org.hickorycleat.logic.routing;

/** Maximum of a value over the current and the previous period. */
final class RecentPeak {
    /** Agent reports may arrive this late. */
    private static final long PERIOD_MS = 1_000;

    private long mPeriodStartMs = Long.MIN_VALUE / 2;
    private int mCurrent;
    private int mPrevious;

    void record(int value, long nowMs) {
        advance(nowMs);
        mCurrent = Math.max(mCurrent, value);
    }

    int value(long nowMs) {
        advance(nowMs);
        return Math.max(mCurrent, mPrevious);
    }

    private void advance(long nowMs) {
        long elapsedMs = nowMs - mPeriodStartMs;
        if (elapsedMs < PERIOD_MS) {
            return;
        }
        mPrevious = elapsedMs < 2 * PERIOD_MS ? mCurrent : 0;
        mCurrent = 0;
        mPeriodStartMs = nowMs;
    }
}
