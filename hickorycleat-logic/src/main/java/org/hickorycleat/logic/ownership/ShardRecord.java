package org.hickorycleat.logic.ownership;

import java.util.List;
import org.hickorycleat.model.identifier.Epoch;

/** A record of the stream {@code placement-<shard>}. */
public sealed interface ShardRecord {
    /** Claims the shard; valid only if {@code replaced} is the latest valid claim, -1 for none. */
    record Claim(OwnerIdentity owner, Epoch replaced) implements ShardRecord {}

    /** Shows that the owner is alive. */
    record Renewal(Epoch epoch, OwnerIdentity owner) implements ShardRecord {}

    /** Decisions that take effect together; void unless the epoch is that of the latest claim. */
    record DecisionBatch(
            Epoch epoch, OwnerIdentity owner, long sequence, List<ShardDecision> decisions)
            implements ShardRecord {
        /** Copies the collections. */
        public DecisionBatch {
            decisions = List.copyOf(decisions);
        }
    }

    /**
     * Result of the replay of all records up to an offset. It depends on nothing but those records,
     * so it holds whoever wrote it and whatever claims lie between that offset and its own.
     */
    record Snapshot(long throughOffset, ShardSnapshot content) implements ShardRecord {}
}
