package org.hickorycleat.model.job;

import java.util.Optional;
import org.hickorycleat.model.identifier.ServiceName;

/**
 * Configuration of a job queue.
 *
 * @param host host name that requests must have to select the queue
 * @param pathPrefix path prefix that requests must have to select the queue
 * @param priority priority of its jobs; 0 is the highest
 * @param maximumAttempts number of failed runs after which a task counts as failed
 * @param stretch proportional part of the completion-time objective, as a multiple of the job's
 *     critical path
 * @param targetDurationMs constant part of the completion-time objective, in milliseconds
 * @param timeoutMs timeout of a request, in milliseconds
 * @param advice advice service whose ticket each start requires; empty if none
 */
public record JobQueue(
        QueueName name,
        String host,
        String pathPrefix,
        ServiceName service,
        int priority,
        int maximumAttempts,
        double stretch,
        int targetDurationMs,
        int timeoutMs,
        Optional<AdviceServiceSettings> advice) {
    /** Multiple of the objective up to which a late job keeps part of its value. */
    private static final int LATE_LIMIT_FACTOR = 3;

    /**
     * Returns the completion-time objective of a job, in milliseconds.
     *
     * @param criticalPathMs expected duration of its critical path, in milliseconds
     */
    public double objectiveMs(double criticalPathMs) {
        return criticalPathMs * stretch + targetDurationMs;
    }

    /**
     * Returns the time after which the completion of a job has no value any more, in milliseconds.
     *
     * @param criticalPathMs expected duration of its critical path, in milliseconds
     */
    public double lateLimitMs(double criticalPathMs) {
        return LATE_LIMIT_FACTOR * objectiveMs(criticalPathMs);
    }
}
