package org.hickorycleat.logic.port;

/**
 * A record of a stream.
 *
 * @param offset place in the stream
 * @param timestampMs time of the append by the clock of the log service, in milliseconds
 * @param payload content, never changed
 */
@SuppressWarnings("ArrayRecordComponent") // Copied neither in nor out: never changed.
public record LogRecord(long offset, long timestampMs, byte[] payload) {}
