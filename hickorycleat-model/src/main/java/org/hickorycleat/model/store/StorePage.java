package org.hickorycleat.model.store;

import java.util.List;

/**
 * Records returned by a read.
 *
 * @param endOffset end offset of the partition
 * @param hasMore for a read of the newest records, whether further keys follow
 * @param truncated whether retention has removed requested records
 */
public record StorePage(
        List<StoreRecord> records, long endOffset, boolean hasMore, boolean truncated) {
    /** Copies the list. */
    public StorePage {
        records = List.copyOf(records);
    }
}
