package org.hickorycleat.logic.port;

import java.util.List;

/**
 * Records read from a stream.
 *
 * @param firstOffset oldest offset that the service still retains
 * @param nextOffset offset to read from next
 * @param records records in order
 */
public record LogPage(long firstOffset, long nextOffset, List<LogRecord> records) {
    /** Copies the collections. */
    public LogPage {
        records = List.copyOf(records);
    }
}
