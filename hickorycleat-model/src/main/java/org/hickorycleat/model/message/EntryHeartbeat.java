package org.hickorycleat.model.message;

import java.util.Optional;
import org.hickorycleat.model.identifier.Epoch;
import org.hickorycleat.model.identifier.ProcessId;

/**
 * Heartbeat of an entry, with its view of the owner.
 *
 * @param owner owner that the entry follows, if any; its own process when it owns the jobs
 * @param ownerHeartbeatAgeMs time since the last heartbeat of the owner, in milliseconds
 * @param configurationVersion version of its active configuration
 * @param storeReachable whether the entry reaches the store directly, has loaded the jobs and is
 *     not draining
 * @param ownerHeartbeatNumber number of this heartbeat if the sender owns the jobs; else that of
 *     the last heartbeat of the owner that the entry follows, 0 if it has none
 */
public record EntryHeartbeat(
        Optional<ProcessId> owner,
        Epoch epoch,
        long ownerHeartbeatAgeMs,
        long configurationVersion,
        boolean storeReachable,
        long ownerHeartbeatNumber)
        implements Message {}
