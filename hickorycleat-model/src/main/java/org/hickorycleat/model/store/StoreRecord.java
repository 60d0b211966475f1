package org.hickorycleat.model.store;

/**
 * A record of a keyed topic.
 *
 * @param value empty when the key was dropped
 */
// Compared by nobody; copying each value would double the work of a read.
@SuppressWarnings("ArrayRecordComponent")
public record StoreRecord(long offset, String key, byte[] value) {}
