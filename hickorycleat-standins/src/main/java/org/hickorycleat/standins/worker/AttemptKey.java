package org.hickorycleat.standins.worker;

import org.hickorycleat.model.identifier.AttemptNumber;
import org.hickorycleat.model.identifier.ShardNumber;
import org.hickorycleat.model.identifier.TaskId;

/** An attempt of a task of a shard. */
public record AttemptKey(ShardNumber shard, TaskId task, AttemptNumber attempt) {}
