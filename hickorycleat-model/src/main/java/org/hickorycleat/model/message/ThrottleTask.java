package org.hickorycleat.model.message;

import org.hickorycleat.model.identifier.AttemptNumber;
import org.hickorycleat.model.identifier.Epoch;
import org.hickorycleat.model.identifier.ShardNumber;
import org.hickorycleat.model.identifier.TaskId;

/** Limits the processor time of a task attempt, in thousandths; 1000 removes the limit. */
public record ThrottleTask(
        ShardNumber shard, Epoch epoch, TaskId task, AttemptNumber attempt, int permille)
        implements Message {}
