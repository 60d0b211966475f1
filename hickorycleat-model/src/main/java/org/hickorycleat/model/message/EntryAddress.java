package org.hickorycleat.model.message;

import org.hickorycleat.model.identifier.ProcessId;
import org.hickorycleat.model.identifier.ZoneId;

/** Peer address of an entry. */
public record EntryAddress(ProcessId process, ZoneId zone, String host, int port) {}
