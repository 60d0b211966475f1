package org.hickorycleat.model.message;

import java.util.List;

/** Entries known to the sender. */
public record FleetEntries(List<KnownEntry> entries) implements Message {
    /** Copies the list. */
    public FleetEntries {
        entries = List.copyOf(entries);
    }
}
