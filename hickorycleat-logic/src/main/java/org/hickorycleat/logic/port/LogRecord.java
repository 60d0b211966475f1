package org.hickorycleat.logic.port;

/**
 * A record of a stream.
 *
 * @param offset position in the stream
 * @param timestampMs time of the append by the clock of the log service, in milliseconds
 * @param payload content; must not be modified
 */
@SuppressWarnings("ArrayRecordComponent") // Not copied, because the array is never modified.
public record LogRecord(long offset, long timestampMs, byte[] payload) {}
