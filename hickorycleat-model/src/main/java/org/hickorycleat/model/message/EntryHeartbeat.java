package org.hickorycleat.model.message;

import java.util.Optional;
import org.hickorycleat.model.identifier.Epoch;
import org.hickorycleat.model.identifier.ProcessId;

/**
 * Liveness of an entry and its view of the owner.
 *
 * @param owner owner that it follows, if any; its own process when it owns the jobs
 * @param ownerHeartbeatAgeMs how long ago it heard from the owner, in milliseconds
 * @param configurationVersion configuration that it has in force
 * @param storeReachable whether it reaches the store itself and does not drain
 */
public record EntryHeartbeat(
        Optional<ProcessId> owner,
        Epoch epoch,
        long ownerHeartbeatAgeMs,
        long configurationVersion,
        boolean storeReachable)
        implements Message {}
