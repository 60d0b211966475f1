package org.hickorycleat.model.message;

import java.util.Optional;
import org.hickorycleat.model.identifier.AttemptNumber;
import org.hickorycleat.model.identifier.ShardNumber;
import org.hickorycleat.model.identifier.TaskId;
import org.hickorycleat.model.task.TaskState;

/** State of a task attempt as reported by the worker. */
public record TaskReport(
        ShardNumber shard,
        TaskId task,
        AttemptNumber attempt,
        TaskState state,
        Optional<String> checkpoint,
        long progressMs,
        long usedProcessorsMilli,
        long usedMemoryMebibytes,
        long measuredAgoMs)
        implements Message {}
