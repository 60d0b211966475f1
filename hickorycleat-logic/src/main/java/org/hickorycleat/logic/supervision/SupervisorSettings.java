package org.hickorycleat.logic.supervision;

/**
 * Times of a supervisor.
 *
 * @param listWaitMs how long the worker may wait for an end before it answers, in milliseconds
 * @param reportIntervalMs longest time between two reports, in milliseconds
 * @param maximumLeaseMs longest lease that a worker grants, in milliseconds; from the platform
 */
public record SupervisorSettings(int listWaitMs, int reportIntervalMs, int maximumLeaseMs) {
    private static final int LIST_WAIT_MS = 300;
    private static final int REPORT_INTERVAL_MS = 500;

    /** Returns the settings for workers that grant leases up to the given length. */
    public static SupervisorSettings of(int maximumLeaseMs) {
        return new SupervisorSettings(LIST_WAIT_MS, REPORT_INTERVAL_MS, maximumLeaseMs);
    }
}
