package org.hickorycleat.logic.port;

import org.hickorycleat.model.identifier.TaskId;

/**
 * Measured resource usage of a task.
 *
 * @param task the task
 * @param processorsMilli processor usage in thousandths of a core
 * @param memoryMebibytes memory usage in MiB
 * @param measuredAgoMs age of the measurement in milliseconds
 */
public record TaskUsage(
        TaskId task, long processorsMilli, long memoryMebibytes, long measuredAgoMs) {}
