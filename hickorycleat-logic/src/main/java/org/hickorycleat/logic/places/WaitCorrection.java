package org.hickorycleat.logic.places;

/**
 * Estimates the factor by which waits take longer than expected.
 *
 * <p>Load pattern: a wanted rack in which newer jobs of more value go ahead of those that wait, so
 * that every expectation proves too short. Older waits count less with time, so that tasks wait
 * again after such a load.
 */
final class WaitCorrection {
    private static final double MAXIMUM_FACTOR = 10;

    /** Sum of waits at which they have the same weight as the uncorrected expectation. */
    private static final double PRIOR_MS = 1_000;

    /** Time after which the weight of a wait has halved, in milliseconds. */
    private static final double HALF_LIFE_MS = 5_000;

    private double mExpectedMs;
    private double mActualMs;
    private long mDecayedAtMs;

    /** Records a wait; one that was given up counts with the time that was still expected. */
    void record(long expectedMs, long actualMs, long nowMs) {
        decay(nowMs);
        mExpectedMs += Math.max(0, expectedMs);
        mActualMs += Math.max(0, actualMs);
    }

    /** Returns the factor from expected to actual waits; at least 1. */
    double factor(long nowMs) {
        decay(nowMs);
        double ratio = (mActualMs + PRIOR_MS) / (mExpectedMs + PRIOR_MS);
        return Math.max(1, Math.min(MAXIMUM_FACTOR, ratio));
    }

    private void decay(long nowMs) {
        double weight = Math.pow(0.5, Math.max(0, nowMs - mDecayedAtMs) / HALF_LIFE_MS);
        mExpectedMs *= weight;
        mActualMs *= weight;
        mDecayedAtMs = nowMs;
    }
}
