package org.hickorycleat.logic.port;

import java.util.Optional;
import org.hickorycleat.model.identifier.AttemptNumber;
import org.hickorycleat.model.identifier.Epoch;
import org.hickorycleat.model.identifier.Incarnation;
import org.hickorycleat.model.identifier.ShardNumber;
import org.hickorycleat.model.identifier.TaskId;
import org.hickorycleat.model.task.Resources;

/**
 * Request to start an attempt.
 *
 * @param shard shard of the task
 * @param epoch epoch of its owner
 * @param incarnation incarnation of the worker that the start is meant for
 * @param task the task
 * @param attempt the attempt
 * @param resources resources to reserve
 * @param leaseUntilMs end of the lease by the worker's clock
 * @param runMs declared run time; 0 to run until stopped
 * @param checkpoint checkpoint to resume from
 */
public record WorkerStart(
        ShardNumber shard,
        Epoch epoch,
        Incarnation incarnation,
        TaskId task,
        AttemptNumber attempt,
        Resources resources,
        long leaseUntilMs,
        long runMs,
        Optional<String> checkpoint) {}
