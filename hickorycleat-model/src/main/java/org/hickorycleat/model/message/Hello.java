package org.hickorycleat.model.message;

import org.hickorycleat.model.identifier.Incarnation;
import org.hickorycleat.model.identifier.ProcessId;
import org.hickorycleat.model.identifier.SessionNumber;
import org.hickorycleat.model.identifier.ZoneId;

/** First message of the process that dialed. */
public record Hello(
        int protocolVersion,
        ProcessId process,
        ProcessRole role,
        Incarnation incarnation,
        SessionNumber session,
        ZoneId zone)
        implements Message {}
