package org.hickorycleat.logic.port;

import java.util.List;
import org.hickorycleat.model.identifier.Epoch;
import org.hickorycleat.model.identifier.Incarnation;
import org.hickorycleat.model.identifier.ShardNumber;
import org.hickorycleat.model.message.TaskAttempt;

/**
 * Request to extend leases.
 *
 * @param shard shard of the tasks
 * @param epoch epoch of its owner
 * @param incarnation incarnation of the worker that the renewal is meant for
 * @param tasks attempts whose leases are extended
 * @param leaseUntilMs end of the leases by the worker's clock
 */
public record WorkerRenewal(
        ShardNumber shard,
        Epoch epoch,
        Incarnation incarnation,
        List<TaskAttempt> tasks,
        long leaseUntilMs) {
    /** Copies the collections. */
    public WorkerRenewal {
        tasks = List.copyOf(tasks);
    }
}
