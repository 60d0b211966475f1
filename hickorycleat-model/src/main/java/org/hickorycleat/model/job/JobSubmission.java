package org.hickorycleat.model.job;

import java.util.List;
import java.util.Optional;

/**
 * A job as its caller handed it in.
 *
 * @param queue name of the queue that took it
 * @param payload opaque description that each task receives
 * @param repeatCount occurrences of a scheduled job; 0 for a job that runs once
 * @param firstDueMs due time of occurrence 0, in Unix milliseconds; 0 if none
 * @param intervalMs time between occurrences, in milliseconds
 * @param acceptedAtMs when the entry took it, in Unix milliseconds
 */
public record JobSubmission(
        JobId id,
        QueueName queue,
        String payload,
        List<StepSpecification> steps,
        int repeatCount,
        long firstDueMs,
        long intervalMs,
        long acceptedAtMs) {
    /** Copies the list. */
    public JobSubmission {
        steps = List.copyOf(steps);
    }

    /** Returns the number of times that the steps run. */
    public int occurrences() {
        return Math.max(1, repeatCount);
    }

    /** Returns when an occurrence may start, in Unix milliseconds; empty for at once. */
    public Optional<Long> dueAtMs(int occurrence) {
        return firstDueMs == 0
                ? Optional.empty()
                : Optional.of(firstDueMs + occurrence * intervalMs);
    }
}
