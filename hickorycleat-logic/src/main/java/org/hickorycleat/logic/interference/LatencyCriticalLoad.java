package org.hickorycleat.logic.interference;

/**
 * Estimates the load of a latency-critical task from its tail latency.
 *
 * <p>The tail latency of a queue grows as 1 / (1 - load) and diverges near saturation. The load, in
 * contrast, is close to the sum of what the colocated jobs add.
 */
public final class LatencyCriticalLoad {
    /** Ratio of idle tail latency to target: targets are about five times the idle tail latency. */
    private static final double IDLE_RATIO = 0.2;

    /** Load at which the tail latency reaches its target. */
    public static final double LOAD_AT_TARGET = 1 - IDLE_RATIO;

    /** Load above which a tail latency only shows that the load is at least this high. */
    public static final double SATURATION_LOAD = 0.93;

    private LatencyCriticalLoad() {}

    /**
     * Returns the load of a task, from 0 for idle to 1 for saturated; 0 without a latency or
     * target.
     */
    public static double of(long tailMs, int targetMs) {
        if (tailMs <= 0 || targetMs <= 0) {
            return 0;
        }
        return Math.max(0, 1 - IDLE_RATIO * targetMs / tailMs);
    }
}
