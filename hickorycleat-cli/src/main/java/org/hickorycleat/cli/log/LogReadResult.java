package org.hickorycleat.cli.log;

import java.util.List;

/**
 * Result of a read.
 *
 * @param isTruncated whether the requested offset is no longer retained
 * @param firstOffset oldest retained offset
 * @param records records in order of their offsets
 */
record LogReadResult(boolean isTruncated, long firstOffset, List<StreamRecord> records) {
    /** A record of the stream. */
    @SuppressWarnings("ArrayRecordComponent") // Not copied: the array is never modified.
    record StreamRecord(long offset, byte[] payload) {}
}
