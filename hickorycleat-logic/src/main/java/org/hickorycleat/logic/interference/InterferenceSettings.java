package org.hickorycleat.logic.interference;

/**
 * Settings of the mitigation of interference. Slowdowns are logarithms of the factor on a latency.
 *
 * @param evaluationIntervalMs least time between two evaluations
 * @param throttleThreshold slowdown above which a task is throttled or evicted
 * @param recoveryThreshold slowdown expected at twice the share, below which the share is doubled
 * @param confidenceDeviations standard deviations by which the mean slowdown must exceed {@code
 *     throttleThreshold}
 * @param minimumActionIntervalMs least time between two actions on one task; longer than the delay
 *     of measurements, so that the effect of the last action is measured first
 * @param minimumThrottlePermille lowest share of processor time, in thousandths; a task at this
 *     share is evicted instead
 * @param workersPerEviction one eviction per minute is allowed for each of this many workers of the
 *     shard, rounded up
 */
public record InterferenceSettings(
        long evaluationIntervalMs,
        double throttleThreshold,
        double recoveryThreshold,
        double confidenceDeviations,
        long minimumActionIntervalMs,
        int minimumThrottlePermille,
        int workersPerEviction) {
    /** The default settings. */
    public static final InterferenceSettings DEFAULT =
            new InterferenceSettings(5_000, 0.18, 0.08, 2, 45_000, 250, 50);
}
