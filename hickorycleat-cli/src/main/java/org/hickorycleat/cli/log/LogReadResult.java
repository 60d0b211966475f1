package org.hickorycleat.cli.log;

import java.util.List;

/**
 * Answer to a read.
 *
 * @param isTruncated whether the offset asked for is no longer kept
 * @param firstOffset oldest offset kept
 * @param records records in order
 */
record LogReadResult(boolean isTruncated, long firstOffset, List<StreamRecord> records) {
    /** A record of the stream. */
    @SuppressWarnings("ArrayRecordComponent") // Copied neither in nor out: never changed.
    record StreamRecord(long offset, byte[] payload) {}
}
