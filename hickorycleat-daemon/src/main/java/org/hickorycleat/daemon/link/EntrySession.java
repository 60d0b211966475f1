package org.hickorycleat.daemon.link;

import org.hickorycleat.daemon.transport.MessageConnection;
import org.hickorycleat.model.identifier.Incarnation;
import org.hickorycleat.model.identifier.ProcessId;
import org.hickorycleat.model.identifier.SessionNumber;

/** An open session of a process with an entry. */
public record EntrySession(
        ProcessId entry,
        Incarnation incarnation,
        SessionNumber number,
        MessageConnection connection) {}
