package org.hickorycleat.model.message;

import org.hickorycleat.model.identifier.AttemptNumber;
import org.hickorycleat.model.identifier.ShardNumber;
import org.hickorycleat.model.identifier.TaskId;

/** An attempt of a task that a worker holds. */
public record TaskAttempt(ShardNumber shard, TaskId task, AttemptNumber attempt) {}
