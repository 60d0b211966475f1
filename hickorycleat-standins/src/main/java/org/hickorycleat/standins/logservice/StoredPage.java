package org.hickorycleat.standins.logservice;

import java.util.List;

/**
 * Page of records that a read returns.
 *
 * @param firstOffset offset of the oldest record in the stream
 * @param nextOffset offset at which the next read continues
 * @param truncated whether the requested offset has been removed by the retention
 * @param records records in the order of their offsets
 */
record StoredPage(
        long firstOffset, long nextOffset, boolean truncated, List<StoredRecord> records) {}
