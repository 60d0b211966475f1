package org.hickorycleat.logic.ownership;

import java.util.Optional;
import java.util.OptionalLong;
import org.hickorycleat.model.identifier.TaskId;

/**
 * What an owner knows of a task.
 *
 * @param task the task
 * @param record its record while it has not ended
 * @param result its ending
 * @param confirmed whether the worker confirmed the attempt in this epoch
 * @param leaseExpiresInMs time until the lease has certainly expired
 * @param summary one sentence for operators
 */
public record TaskExplanation(
        TaskId task,
        Optional<TaskRecord> record,
        Optional<TaskResult> result,
        boolean confirmed,
        OptionalLong leaseExpiresInMs,
        String summary) {}
