package org.hickorycleat.logic.supervision;

import java.util.Optional;

/**
 * Estimates the clock of the worker from its responses.
 *
 * <p>The clock of a worker may run up to 2% slower or faster than the clock of the process.
 */
final class WorkerClock {
    /** Share of the elapsed time that has certainly passed on the worker's clock. */
    private static final double SLOWEST_RATE = 0.97;

    /** Factor from a duration on the worker's clock to the longest time that it may take. */
    private static final double MAXIMUM_DURATION_FACTOR = 1.03;

    /** Margin for rounding and scheduling delays on both sides, in milliseconds. */
    private static final long MARGIN_MS = 50;

    private boolean mHasReading;
    private long mClockMs;
    private long mReadAtMs;

    /** Records a reading that arrived at the given time of the process. */
    void onReading(long clockMs, long nowMs) {
        mHasReading = true;
        mClockMs = clockMs;
        mReadAtMs = nowMs;
    }

    /** Removes the reading, because a new incarnation of the worker has a new clock. */
    void reset() {
        mHasReading = false;
    }

    /** Returns a value that the worker's clock has certainly reached; empty without a reading. */
    Optional<Long> lowerBoundMs(long nowMs) {
        return mHasReading
                ? Optional.of(mClockMs + (long) ((nowMs - mReadAtMs) * SLOWEST_RATE))
                : Optional.empty();
    }

    /** Returns the longest time that a duration on a worker's clock may take, in milliseconds. */
    static long longestDurationMs(long durationMs) {
        return (long) (durationMs * MAXIMUM_DURATION_FACTOR) + MARGIN_MS;
    }

    /**
     * Returns a time of the process at which the worker's clock has certainly passed the given
     * value, in milliseconds.
     */
    long certainlyPassedAtMs(long clockMs, long nowMs) {
        long remainingMs = clockMs - lowerBoundMs(nowMs).orElse(0L);
        return nowMs + longestDurationMs(Math.max(0, remainingMs));
    }
}
