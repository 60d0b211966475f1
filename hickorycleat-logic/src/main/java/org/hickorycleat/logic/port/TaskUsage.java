package org.hickorycleat.logic.port;

import org.hickorycleat.model.identifier.TaskId;

/**
 * Measured use of resources by a task.
 *
 * @param task the task
 * @param processorsMilli thousandths of a core
 * @param memoryMebibytes MiB
 * @param measuredAgoMs age of the measurement in milliseconds
 */
public record TaskUsage(
        TaskId task, long processorsMilli, long memoryMebibytes, long measuredAgoMs) {}
