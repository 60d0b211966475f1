package org.hickorycleat.model.message;

import org.hickorycleat.model.identifier.AttemptNumber;
import org.hickorycleat.model.identifier.ShardNumber;
import org.hickorycleat.model.identifier.TaskId;

/** Identifies an attempt of a task, as held by a worker. */
public record TaskAttempt(ShardNumber shard, TaskId task, AttemptNumber attempt) {}
