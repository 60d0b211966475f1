package org.hickorycleat.model.message;

import org.hickorycleat.model.identifier.AttemptNumber;
import org.hickorycleat.model.identifier.Epoch;
import org.hickorycleat.model.identifier.ShardNumber;
import org.hickorycleat.model.identifier.TaskId;

/** Commands the worker to stop an attempt of a task. */
public record StopTask(ShardNumber shard, Epoch epoch, TaskId task, AttemptNumber attempt)
        implements Message {}
