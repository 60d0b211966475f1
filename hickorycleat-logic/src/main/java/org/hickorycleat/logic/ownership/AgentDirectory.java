package org.hickorycleat.logic.ownership;

import java.util.Collection;
import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import org.hickorycleat.model.identifier.ProcessId;
import org.hickorycleat.model.identifier.WorkerId;

/** Agents of a shard, found by process and by worker. */
final class AgentDirectory {
    private final Map<ProcessId, AgentSession> mByAgent = new LinkedHashMap<>();
    private final Map<WorkerId, AgentSession> mByWorker = new LinkedHashMap<>();

    void connected(ShardEvent.AgentConnected event) {
        AgentSession session = mByAgent.get(event.agent());
        if (session == null || !session.worker().equals(event.worker().worker())) {
            session = new AgentSession(event.agent(), event.zone(), event.worker());
        } else {
            session.connected(event.zone(), event.worker());
        }
        mByAgent.put(event.agent(), session);
        mByWorker.put(session.worker(), session);
    }

    Optional<AgentSession> agent(ProcessId agent) {
        return Optional.ofNullable(mByAgent.get(agent));
    }

    Optional<AgentSession> worker(WorkerId worker) {
        return Optional.ofNullable(mByWorker.get(worker));
    }

    /** A worker whose agent never connected counts from the time of the claim. */
    boolean unreachable(WorkerId worker, long durationMs, long ownedSinceMs, long nowMs) {
        return worker(worker)
                .map(session -> session.unreachableFor(durationMs, nowMs))
                .orElse(nowMs - ownedSinceMs >= durationMs);
    }

    /** Returns one session for each worker. */
    Collection<AgentSession> sessions() {
        return Collections.unmodifiableCollection(mByWorker.values());
    }
}
