package org.hickorycleat.logic.batch;

import org.hickorycleat.model.task.Resources;

/**
 * Free room of a worker over a time.
 *
 * @param order position of the worker
 * @param openMs time from which the room is free
 * @param endMs time at which it is reserved for another job; {@code Long.MAX_VALUE} for never
 * @param capacity all resources of the worker
 * @param free the free room
 */
public record Gap(int order, long openMs, long endMs, Resources capacity, Resources free) {
    /** Returns the largest free share over processors and memory, from 0 to 1. */
    public double freeShare() {
        double processors = share(free.processorsMilli(), capacity.processorsMilli());
        double memory = share(free.memoryMebibytes(), capacity.memoryMebibytes());
        return Math.max(processors, memory);
    }

    private static double share(long part, long whole) {
        return whole == 0 ? 0 : (double) part / whole;
    }
}
