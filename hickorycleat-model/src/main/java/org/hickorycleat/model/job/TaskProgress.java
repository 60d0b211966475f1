package org.hickorycleat.model.job;

import java.util.List;
import java.util.Optional;
import org.hickorycleat.model.identifier.ProcessId;

/**
 * Durable state of a task that has started at least once.
 *
 * @param run number of its latest run
 * @param failedRuns numbers of the runs that ended in failure, each of which counts once
 * @param agent agent that the latest run was ordered from
 * @param incarnation life of the worker that the latest run was ordered on
 */
public record TaskProgress(
        int occurrence,
        int step,
        int index,
        TaskStatus status,
        int run,
        List<Integer> failedRuns,
        Optional<ProcessId> agent,
        Optional<WorkerIncarnation> incarnation,
        Optional<String> checkpoint) {
    /** Copies the list. */
    public TaskProgress {
        failedRuns = List.copyOf(failedRuns);
    }
}
