package org.hickorycleat.logic.ownership;

import java.util.List;
import java.util.Optional;
import org.hickorycleat.model.identifier.ConfigurationVersion;
import org.hickorycleat.model.identifier.Epoch;

/**
 * State of a shard as of a position in the log.
 *
 * @param epoch offset of the latest valid claim, -1 for none
 * @param owner writer of that claim
 * @param lastSequence sequence of the last valid batch of that epoch, 0 for none
 * @param manifestVersion manifest that the decisions are based on
 * @param tasks tasks that have not ended
 * @param ended batch tasks that have ended
 * @param generations latest generation of each service instance
 */
public record ShardSnapshot(
        Epoch epoch,
        Optional<OwnerIdentity> owner,
        long lastSequence,
        ConfigurationVersion manifestVersion,
        List<TaskRecord> tasks,
        List<TaskTombstone> ended,
        List<ServiceTask> generations) {
    /** Copies the collections. */
    public ShardSnapshot {
        tasks = List.copyOf(tasks);
        ended = List.copyOf(ended);
        generations = List.copyOf(generations);
    }
}
