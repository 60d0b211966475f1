package org.hickorycleat.model.job;

import java.util.Optional;
import org.hickorycleat.model.identifier.ProcessId;

/**
 * Durable state of a task that has started at least once.
 *
 * @param run number of its latest run
 * @param failures runs that ended in failure
 * @param agent agent that the latest run was ordered from
 * @param life life of the worker that the latest run was ordered on
 */
public record TaskProgress(
        int occurrence,
        int step,
        int index,
        TaskStatus status,
        int run,
        int failures,
        Optional<ProcessId> agent,
        Optional<WorkerLife> life,
        Optional<String> checkpoint) {}
