package org.hickorycleat.model.message;

import java.util.Optional;
import org.hickorycleat.model.identifier.AttemptNumber;
import org.hickorycleat.model.identifier.Epoch;
import org.hickorycleat.model.identifier.ShardNumber;
import org.hickorycleat.model.identifier.TaskId;
import org.hickorycleat.model.task.Resources;

/** Commands an agent to start a task attempt on its local worker; also grants its lease. */
public record StartTask(
        ShardNumber shard,
        Epoch epoch,
        TaskId task,
        AttemptNumber attempt,
        Resources resources,
        long leaseRequest,
        long leaseMs,
        long runMs,
        Optional<String> checkpoint)
        implements Message {}
