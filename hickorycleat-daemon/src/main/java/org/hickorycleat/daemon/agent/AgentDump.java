package org.hickorycleat.daemon.agent;

import java.util.List;
import java.util.Optional;
import org.hickorycleat.model.message.TargetReport;
import org.hickorycleat.model.message.WorkerSummary;

/** Internal state of an agent for {@code GET /admin/dump}. */
record AgentDump(
        Object status,
        List<EntrySessions.SessionState> entries,
        List<TargetReport> targets,
        long fencedInvokes,
        Optional<WorkerSummary> worker,
        Optional<Object> leases) {}
