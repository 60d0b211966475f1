package org.hickorycleat.model.message;

import java.util.List;
import org.hickorycleat.model.identifier.ShardNumber;

/** Requests that the owner of a shard extend the leases of task attempts. */
public record LeaseRequest(ShardNumber shard, long number, List<TaskAttempt> tasks)
        implements Message {
    /** Copies the collections. */
    public LeaseRequest {
        tasks = List.copyOf(tasks);
    }
}
