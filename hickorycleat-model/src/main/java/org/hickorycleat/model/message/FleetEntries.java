package org.hickorycleat.model.message;

import java.util.List;

/** Entries known to the sender. */
public record FleetEntries(List<FleetNode> entries) implements Message {
    /** Copies the list. */
    public FleetEntries {
        entries = List.copyOf(entries);
    }
}
