package org.hickorycleat.logic.supervision;

import java.util.Optional;

/**
 * Estimates the clock of the worker from its answers.
 *
 * <p>The clock of a worker may run 2% slower than that of the process, never faster by more.
 */
final class WorkerClock {
    /** Share of the passed time that is certain to have passed on the worker's clock. */
    private static final double SLOWEST_RATE = 0.97;

    /** Factor from a time on the worker's clock to the longest time that it may take. */
    private static final double LONGEST_TIME = 1.03;

    /** Rounding and scheduling on both sides, in milliseconds. */
    private static final long MARGIN_MS = 50;

    private boolean mKnown;
    private long mClockMs;
    private long mReadAtMs;

    /** Takes a reading that arrived at the given time of the process. */
    void onReading(long clockMs, long nowMs) {
        mKnown = true;
        mClockMs = clockMs;
        mReadAtMs = nowMs;
    }

    /** Forgets the readings: a new life of the worker has a new clock. */
    void reset() {
        mKnown = false;
    }

    /** Returns a value that the worker's clock has certainly passed. */
    Optional<Long> lowerBoundMs(long nowMs) {
        return mKnown
                ? Optional.of(mClockMs + (long) ((nowMs - mReadAtMs) * SLOWEST_RATE))
                : Optional.empty();
    }

    /** Returns a time of the process at which the worker's clock has certainly passed a value. */
    long certainlyPassedAtMs(long clockMs, long nowMs) {
        long remainingMs = clockMs - lowerBoundMs(nowMs).orElse(0L);
        return nowMs + (long) (Math.max(0, remainingMs) * LONGEST_TIME) + MARGIN_MS;
    }
}
