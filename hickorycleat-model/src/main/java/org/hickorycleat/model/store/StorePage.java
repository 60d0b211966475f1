package org.hickorycleat.model.store;

import java.util.List;

/**
 * Answer of a read.
 *
 * @param endOffset end of the partition
 * @param hasMore for the newest records, whether further keys follow
 * @param truncated whether the records asked for are no longer kept
 */
public record StorePage(
        List<StoreRecord> records, long endOffset, boolean hasMore, boolean truncated) {
    /** Copies the list. */
    public StorePage {
        records = List.copyOf(records);
    }
}
