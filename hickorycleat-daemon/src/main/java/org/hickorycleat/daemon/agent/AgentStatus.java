package org.hickorycleat.daemon.agent;

import org.hickorycleat.model.identifier.Incarnation;
import org.hickorycleat.model.identifier.ProcessId;
import org.hickorycleat.model.identifier.ZoneId;

/** Summary of an agent for operators. */
record AgentStatus(
        ProcessId process,
        String role,
        ZoneId zone,
        Incarnation incarnation,
        long configurationVersion,
        String health,
        int entries,
        int requestsInProgress,
        boolean draining) {}
