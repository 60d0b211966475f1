package org.hickorycleat.model.message;

import java.util.List;
import org.hickorycleat.model.identifier.Epoch;
import org.hickorycleat.model.identifier.ShardNumber;

/** Answer to {@link LeaseRequest}, counted from the moment the request was sent. */
public record LeaseGrant(
        ShardNumber shard, Epoch epoch, long requestNumber, List<TaskAttempt> tasks, long leaseMs)
        implements Message {
    /** Copies the collections. */
    public LeaseGrant {
        tasks = List.copyOf(tasks);
    }
}
