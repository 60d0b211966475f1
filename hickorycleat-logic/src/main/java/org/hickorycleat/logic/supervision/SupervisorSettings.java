package org.hickorycleat.logic.supervision;

/**
 * Intervals and timeouts of a supervisor.
 *
 * @param longPollMs long poll timeout: how long the worker may wait for a new end before it
 *     responds, in milliseconds
 * @param reportIntervalMs longest time between two reports, in milliseconds
 * @param maximumLeaseMs longest lease that a worker grants, in milliseconds; as the platform
 *     defines it
 * @param maximumInterferenceMs maximum time that a latency-critical task may miss its target
 *     because of interference, in milliseconds; as the platform defines it
 */
public record SupervisorSettings(
        int longPollMs, int reportIntervalMs, int maximumLeaseMs, int maximumInterferenceMs) {
    private static final int LONG_POLL_MS = 450;
    private static final int REPORT_INTERVAL_MS = 500;

    /** Returns the settings for workers with the given bounds of the platform. */
    public static SupervisorSettings of(int maximumLeaseMs, int maximumInterferenceMs) {
        return new SupervisorSettings(
                LONG_POLL_MS, REPORT_INTERVAL_MS, maximumLeaseMs, maximumInterferenceMs);
    }
}
