package org.hickorycleat.standins.logservice;

/**
 * A record that is kept.
 *
 * @param offset place in the stream
 * @param timestampMs time of the append in milliseconds since 1970
 * @param payload content
 */
@SuppressWarnings("ArrayRecordComponent") // Copied neither in nor out: never changed.
record StoredRecord(long offset, long timestampMs, byte[] payload) {}
