package org.hickorycleat.standins.logservice;

/**
 * A record of a stream.
 *
 * @param offset position in the stream
 * @param timestampMs time of the append in milliseconds since 1970
 * @param payload content
 */
@SuppressWarnings("ArrayRecordComponent") // Not copied, because the bytes are never modified.
record StoredRecord(long offset, long timestampMs, byte[] payload) {}
