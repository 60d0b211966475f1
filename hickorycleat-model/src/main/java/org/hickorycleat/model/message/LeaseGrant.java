package org.hickorycleat.model.message;

import java.util.List;
import org.hickorycleat.model.identifier.Epoch;
import org.hickorycleat.model.identifier.ShardNumber;

/** Response to {@link LeaseRequest}; the lease starts when the request was sent. */
public record LeaseGrant(
        ShardNumber shard, Epoch epoch, long requestNumber, List<TaskAttempt> tasks, long leaseMs)
        implements Message {
    /** Copies the collections. */
    public LeaseGrant {
        tasks = List.copyOf(tasks);
    }
}
