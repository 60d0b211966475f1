package org.hickorycleat.standins.worker;

import org.hickorycleat.model.identifier.AttemptNumber;
import org.hickorycleat.model.identifier.ShardNumber;
import org.hickorycleat.model.identifier.TaskId;

/** Identifies an attempt of a task that belongs to a shard. */
public record AttemptKey(ShardNumber shard, TaskId task, AttemptNumber attempt) {}
