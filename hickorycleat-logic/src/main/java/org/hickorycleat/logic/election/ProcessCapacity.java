package org.hickorycleat.logic.election;

import java.util.OptionalLong;

/**
 * Computes the capacity of a process from the limits of its machine.
 *
 * <p>The owner of the jobs needs processors for placement and bandwidth for its links to all other
 * processes; the scarcer of the two determines how much it can serve.
 */
public final class ProcessCapacity {
    /** Processor capacity that a link carries, in thousandths of a processor per Mbit/s. */
    private static final long MILLI_PER_MBPS = 20;

    private static final long KBPS_PER_MBPS = 1_000;

    private ProcessCapacity() {}

    /**
     * Returns the capacity in thousandths of a processor, at least 1.
     *
     * @param processorShareMilli share of each processor that the process may use, in thousandths
     * @param processors number of processors
     * @param linkKbps bandwidth of the link in kilobits per second; empty if it is not limited
     */
    public static long milli(long processorShareMilli, int processors, OptionalLong linkKbps) {
        long processorMilli = processorShareMilli * Math.max(1, processors);
        long linkMilli =
                linkKbps.isPresent()
                        ? linkKbps.getAsLong() * MILLI_PER_MBPS / KBPS_PER_MBPS
                        : Long.MAX_VALUE;
        return Math.max(1, Math.min(processorMilli, linkMilli));
    }
}
