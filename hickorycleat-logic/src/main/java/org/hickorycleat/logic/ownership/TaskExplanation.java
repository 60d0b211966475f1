package org.hickorycleat.logic.ownership;

import java.util.Optional;
import java.util.OptionalLong;
import org.hickorycleat.model.identifier.TaskId;

/**
 * State of a task as known to the shard owner.
 *
 * @param task the task
 * @param record record of the task; empty once it has ended
 * @param result result of the task; empty until it has ended
 * @param confirmed whether the worker confirmed the attempt in this epoch
 * @param leaseExpiresInMs time in milliseconds until the lease has certainly expired; empty if
 *     unknown
 * @param summary one-line summary for operators
 */
public record TaskExplanation(
        TaskId task,
        Optional<TaskRecord> record,
        Optional<TaskResult> result,
        boolean confirmed,
        OptionalLong leaseExpiresInMs,
        String summary) {}
