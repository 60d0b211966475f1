package org.hickorycleat.model.message;

import java.util.Optional;
import org.hickorycleat.model.identifier.Incarnation;
import org.hickorycleat.model.identifier.ProcessId;
import org.hickorycleat.model.identifier.SessionNumber;
import org.hickorycleat.model.identifier.ZoneId;

/**
 * First message from the process that opened the connection; an entry includes the address that it
 * listens on.
 */
public record Hello(
        int protocolVersion,
        ProcessId process,
        ProcessRole role,
        Incarnation incarnation,
        SessionNumber session,
        ZoneId zone,
        Optional<EntryAddress> address)
        implements Message {}
