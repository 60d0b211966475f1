package org.hickorycleat.model.message;

import org.hickorycleat.model.identifier.ProcessId;
import org.hickorycleat.model.identifier.ZoneId;

/** Address on which an entry accepts connections from its peers. */
public record EntryAddress(ProcessId process, ZoneId zone, String host, int port) {
    private static final int MAXIMUM_PORT = 65_535;

    /** Returns whether a socket can have the port. */
    public boolean hasValidPort() {
        return port >= 1 && port <= MAXIMUM_PORT;
    }
}
