package org.hickorycleat.logic.interference;

/**
 * Limits of the response to interference.
 *
 * @param evaluateMs time between evaluations
 * @param enter slowdown, as a logarithm, beyond which a task is throttled or moved
 * @param leave slowdown at the next higher share below which a task is given back that share
 * @param deviations certainty with which {@code enter} must be exceeded
 * @param dwellMs least time between two steps for one task: longer than measurements are late, so
 *     that the effect of the last step has been seen
 * @param lowestPermille lowest share of processor time before a task is moved
 * @param workersPerMove workers of the shard for each move that a minute allows, rounded up
 */
public record InterferenceSettings(
        long evaluateMs,
        double enter,
        double leave,
        double deviations,
        long dwellMs,
        int lowestPermille,
        int workersPerMove) {
    /** The default limits. */
    public static final InterferenceSettings DEFAULT =
            new InterferenceSettings(5_000, 0.18, 0.08, 2, 45_000, 250, 50);
}
