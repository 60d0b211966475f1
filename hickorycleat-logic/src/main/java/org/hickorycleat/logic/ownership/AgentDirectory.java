package org.hickorycleat.logic.ownership;

import java.util.Collection;
import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import org.hickorycleat.model.identifier.ProcessId;
import org.hickorycleat.model.identifier.WorkerId;

/** Indexes the agents of a shard by process and by worker. */
final class AgentDirectory {
    private final Map<ProcessId, AgentSession> mSessionsByAgent = new LinkedHashMap<>();
    private final Map<WorkerId, AgentSession> mSessionsByWorker = new LinkedHashMap<>();

    void onAgentConnected(ShardEvent.AgentConnected event) {
        AgentSession session = mSessionsByAgent.get(event.agent());
        if (session == null || !session.worker().equals(event.worker().worker())) {
            session = new AgentSession(event.agent(), event.zone(), event.worker());
        } else {
            session.onConnected(event.zone(), event.worker());
        }
        mSessionsByAgent.put(event.agent(), session);
        mSessionsByWorker.put(session.worker(), session);
    }

    Optional<AgentSession> findByAgent(ProcessId agent) {
        return Optional.ofNullable(mSessionsByAgent.get(agent));
    }

    Optional<AgentSession> findByWorker(WorkerId worker) {
        return Optional.ofNullable(mSessionsByWorker.get(worker));
    }

    /**
     * Returns whether the agent of a worker has been disconnected for the given time. For a worker
     * whose agent never connected, the time counts from the claim.
     */
    boolean isUnreachableFor(WorkerId worker, long durationMs, long ownedSinceMs, long nowMs) {
        return findByWorker(worker)
                .map(session -> session.isDisconnectedFor(durationMs, nowMs))
                .orElse(nowMs - ownedSinceMs >= durationMs);
    }

    /** Returns one session for each worker. */
    Collection<AgentSession> sessions() {
        return Collections.unmodifiableCollection(mSessionsByWorker.values());
    }
}
