package org.hickorycleat.model.job;

import java.util.List;
import java.util.Optional;

/**
 * A job as submitted by its caller.
 *
 * @param queue name of the queue that accepted the job
 * @param payload opaque task specification that each task receives
 * @param repeatCount occurrences of a scheduled job; 0 for a job that runs once
 * @param firstDueMs due time of occurrence 0, in Unix milliseconds; 0 if none
 * @param intervalMs time between occurrences, in milliseconds
 * @param acceptedAtMs time at which an entry accepted the job, in Unix milliseconds
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
    /**
     * Maximum number of tasks of a job; the progress of all of them must fit into one store record.
     */
    public static final int MAXIMUM_TASKS = 3_000;

    /** Copies the list. */
    public JobSubmission {
        steps = List.copyOf(steps);
    }

    /**
     * Returns whether the job can run: it has steps, all of them are well-formed, each follows only
     * earlier ones, and neither the number of its tasks nor its due times are out of range.
     */
    public boolean isWellFormed() {
        long taskCount = 0;
        for (int i = 0; i < steps.size(); i++) {
            if (!steps.get(i).isWellFormed(i)) {
                return false;
            }
            taskCount += steps.get(i).count();
        }
        boolean hasValidTimes =
                firstDueMs >= 0
                        && intervalMs >= 0
                        && intervalMs <= (Long.MAX_VALUE - firstDueMs) / occurrences();
        return taskCount > 0
                && repeatCount >= 0
                && taskCount * occurrences() <= MAXIMUM_TASKS
                && hasValidTimes;
    }

    /** Returns the estimated duration of the critical path, in milliseconds. */
    public long criticalPathMs() {
        long[] endMs = new long[steps.size()];
        long longest = 0;
        for (int i = 0; i < endMs.length; i++) {
            long startMs = 0;
            for (int predecessor : steps.get(i).predecessors()) {
                startMs = Math.max(startMs, endMs[predecessor]);
            }
            endMs[i] = startMs + steps.get(i).estimateMs();
            longest = Math.max(longest, endMs[i]);
        }
        return longest;
    }

    /**
     * Returns the estimated work of one occurrence, in thousandths of a processor times
     * milliseconds.
     */
    public double work() {
        double work = 0;
        for (StepSpecification step : steps) {
            work += (double) step.count() * step.estimateMs() * step.resources().processorsMilli();
        }
        return work;
    }

    /** Returns the number of tasks of all occurrences. */
    public int taskCount() {
        return occurrences() * steps.stream().mapToInt(StepSpecification::count).sum();
    }

    /** Returns the number of times that the steps run. */
    public int occurrences() {
        return Math.max(1, repeatCount);
    }

    /**
     * Returns the earliest start of an occurrence, in Unix milliseconds; empty if it may start
     * immediately.
     */
    public Optional<Long> dueAtMs(int occurrence) {
        return firstDueMs == 0
                ? Optional.empty()
                : Optional.of(firstDueMs + occurrence * intervalMs);
    }
}
