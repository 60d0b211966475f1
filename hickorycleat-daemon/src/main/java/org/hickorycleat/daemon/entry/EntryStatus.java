package org.hickorycleat.daemon.entry;

import org.hickorycleat.model.identifier.Incarnation;
import org.hickorycleat.model.identifier.ProcessId;
import org.hickorycleat.model.identifier.ZoneId;

/** Summary of an entry for operators. */
record EntryStatus(
        ProcessId process,
        String role,
        ZoneId zone,
        Incarnation incarnation,
        long configurationVersion,
        String health,
        int liveEntries,
        int agents,
        int requestsInProgress,
        boolean draining) {}
