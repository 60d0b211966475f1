package org.hickorycleat.standins.logservice;

import java.util.List;

/**
 * Answer to a read; truncated if the offset asked for is no longer kept.
 *
 * @param firstOffset oldest offset kept
 * @param nextOffset offset to read from next
 * @param truncated whether the offset asked for is older than the retention
 * @param records records in order
 */
record StoredPage(
        long firstOffset, long nextOffset, boolean truncated, List<StoredRecord> records) {}
