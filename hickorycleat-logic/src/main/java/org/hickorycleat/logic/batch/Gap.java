package org.hickorycleat.logic.batch;

import org.hickorycleat.model.task.Resources;

/**
 * Free resources of a worker over an interval of time.
 *
 * @param workerIndex index of the worker; breaks ties
 * @param startMs time from which the resources are free
 * @param endMs time from which they are reserved for another job; {@code Long.MAX_VALUE} for never
 * @param capacity total resources of the worker
 * @param free the free resources
 */
public record Gap(int workerIndex, long startMs, long endMs, Resources capacity, Resources free) {
    /** Returns the larger of the free shares of processors and memory, from 0 to 1. */
    public double freeShare() {
        double processors = share(free.processorsMilli(), capacity.processorsMilli());
        double memory = share(free.memoryMebibytes(), capacity.memoryMebibytes());
        return Math.max(processors, memory);
    }

    private static double share(long part, long whole) {
        return whole == 0 ? 0 : (double) part / whole;
    }
}
