package org.hickorycleat.standins.worker;

import org.hickorycleat.model.identifier.TaskId;

/** Measured use of resources by a task, with the age of the measurement. */
public record TaskUsageSample(
        TaskId task, long processorsMilli, long memoryMebibytes, long measuredAgoMs) {}
