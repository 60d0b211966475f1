package org.hickorycleat.daemon.agent;

import java.util.List;
import java.util.Optional;
import org.hickorycleat.model.message.TargetReport;
import org.hickorycleat.model.message.WorkerSummary;

/** State of an agent for operators. */
record AgentDump(
        Object status,
        List<EntrySessions.SessionState> entries,
        List<TargetReport> targets,
        long fencedInvokes,
        Optional<WorkerSummary> worker,
        Optional<Object> leases) {}
