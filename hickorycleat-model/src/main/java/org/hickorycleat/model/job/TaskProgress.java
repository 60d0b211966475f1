package org.hickorycleat.model.job;

import java.util.List;
import java.util.Optional;
import org.hickorycleat.model.identifier.ProcessId;

/**
 * Durable state of a task that has started at least once.
 *
 * @param run number of its latest run
 * @param failedRuns numbers of the failed runs; each counts once, however often its end is reported
 * @param agent agent that was commanded to start the latest run
 * @param incarnation worker incarnation on which the latest run was started
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

    /** Returns the same progress without the checkpoint. */
    public TaskProgress withoutCheckpoint() {
        return new TaskProgress(
                occurrence,
                step,
                index,
                status,
                run,
                failedRuns,
                agent,
                incarnation,
                Optional.empty());
    }

    /** Returns whether no number is negative. */
    public boolean isWellFormed() {
        return occurrence >= 0 && step >= 0 && index >= 0 && run >= 0;
    }
}
