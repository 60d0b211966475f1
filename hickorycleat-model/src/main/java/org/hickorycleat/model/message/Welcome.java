package org.hickorycleat.model.message;

import java.util.List;
import org.hickorycleat.model.identifier.Incarnation;
import org.hickorycleat.model.identifier.ProcessId;
import org.hickorycleat.model.identifier.ZoneId;

/** Response to {@link Hello}; lists the entries known to the accepting process. */
public record Welcome(
        ProcessId process, Incarnation incarnation, ZoneId zone, List<EntryAddress> entries)
        implements Message {
    /** Copies the collections. */
    public Welcome {
        entries = List.copyOf(entries);
    }
}
