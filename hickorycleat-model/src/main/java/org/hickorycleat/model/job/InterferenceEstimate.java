package org.hickorycleat.model.job;

/**
 * Estimated load that a best-effort image adds to a latency-critical image on the same worker.
 *
 * @param latencyCriticalImage image of the latency-critical tasks
 * @param bestEffortImage image of the colocated best-effort tasks
 * @param meanMilli added load when the best-effort image uses all processors of the worker, in
 *     thousandths
 * @param varianceMilli variance of the estimate, in thousandths
 */
public record InterferenceEstimate(
        String latencyCriticalImage, String bestEffortImage, long meanMilli, long varianceMilli) {}
