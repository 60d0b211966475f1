package org.hickorycleat.logic.quarantine;

/**
 * Limits of the quarantine.
 *
 * @param failuresOfWorker failures without a success that quarantine a worker: of different jobs,
 *     or of different tasks of a job that succeeded elsewhere
 * @param failuresOfTask different healthy workers on which a task fails before it is rejected
 * @param firstProbeMs time in quarantine before the first probe; doubles with each failed probe
 * @param longestProbeMs longest time between probes
 * @param successesToLeave successful probes after which a worker leaves quarantine
 */
public record QuarantineSettings(
        int failuresOfWorker,
        int failuresOfTask,
        long firstProbeMs,
        long longestProbeMs,
        int successesToLeave) {
    /** The default limits. */
    public static final QuarantineSettings DEFAULT =
            new QuarantineSettings(3, 3, 30_000, 600_000, 2);
}
