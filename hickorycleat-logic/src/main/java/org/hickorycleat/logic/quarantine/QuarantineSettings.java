package org.hickorycleat.logic.quarantine;

/**
 * Limits and delays of the quarantine.
 *
 * @param workerFailureLimit number of failures since the last success that quarantine a worker: of
 *     different jobs, or of different tasks of a job that succeeded on another worker
 * @param taskFailureLimit number of different healthy workers on which a task fails before it is
 *     rejected
 * @param initialProbeDelayMs time in quarantine before the first probe task; doubles with each
 *     failed one
 * @param maximumProbeDelayMs longest time between two probe tasks
 * @param successesToRelease number of successful probe tasks after which a worker is released
 */
public record QuarantineSettings(
        int workerFailureLimit,
        int taskFailureLimit,
        long initialProbeDelayMs,
        long maximumProbeDelayMs,
        int successesToRelease) {
    /** The default settings. */
    public static final QuarantineSettings DEFAULT =
            new QuarantineSettings(3, 3, 30_000, 600_000, 2);
}
