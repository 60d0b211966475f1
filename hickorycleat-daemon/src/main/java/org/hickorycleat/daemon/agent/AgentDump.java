package org.hickorycleat.daemon.agent;

import java.util.List;
import org.hickorycleat.model.message.TargetReport;

/** State of an agent for operators. */
record AgentDump(
        Object status,
        List<AgentEntries.SessionState> entries,
        List<TargetReport> targets,
        long fencedInvokes) {}
