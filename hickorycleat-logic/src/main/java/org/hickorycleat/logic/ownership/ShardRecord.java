package org.hickorycleat.logic.ownership;

import java.util.List;
import org.hickorycleat.model.identifier.Epoch;

/** A record of the stream {@code placement-<shard>}. */
public sealed interface ShardRecord {
    /**
     * Claims the shard; valid only if {@code replaced} is the epoch of the latest valid claim, -1
     * for none.
     */
    record Claim(OwnerIdentity owner, Epoch replaced) implements ShardRecord {}

    /** Renews the ownership; a shard without recent records of its owner is claimed. */
    record Renewal(Epoch epoch, OwnerIdentity owner) implements ShardRecord {}

    /**
     * Decisions that are applied together; invalid unless the epoch is that of the latest valid
     * claim.
     */
    record DecisionBatch(
            Epoch epoch, OwnerIdentity owner, long sequence, List<ShardDecision> decisions)
            implements ShardRecord {
        /** Copies the collections. */
        public DecisionBatch {
            decisions = List.copyOf(decisions);
        }
    }

    /**
     * State after the replay of all records up to an offset. It depends only on those records, so
     * it is valid regardless of its writer and of claims between that offset and its own.
     */
    record Snapshot(long throughOffset, ShardSnapshot content) implements ShardRecord {}
}
