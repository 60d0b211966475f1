package org.hickorycleat.logic.interference;

/**
 * Estimates how loaded a serving task is from the tail of its response times.
 *
 * <p>The tail of a queue grows as one by one minus its load, so that it explodes near saturation;
 * the load itself is nearly a sum of what neighbours add, which a tail is not.
 */
public final class ServingLoad {
    /** Ratio of tail to target without any load: targets are some five times the idle tail. */
    private static final double IDLE_RATIO = 0.2;

    /** Load at which the tail reaches its target. */
    public static final double LOAD_AT_TARGET = 1 - IDLE_RATIO;

    /** Load from which on a tail only tells that the load is at least that high. */
    public static final double SATURATION_LOAD = 0.93;

    private ServingLoad() {}

    /** Returns the load of a task, from 0 for idle to 1 for saturated. */
    public static double of(long tailMs, int targetMs) {
        if (tailMs <= 0 || targetMs <= 0) {
            return 0;
        }
        return Math.max(0, 1 - IDLE_RATIO * targetMs / tailMs);
    }
}
