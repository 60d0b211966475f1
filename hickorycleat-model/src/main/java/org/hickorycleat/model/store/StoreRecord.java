package org.hickorycleat.model.store;

/**
 * A record of a keyed topic.
 *
 * @param value content of the record; empty if it is a tombstone for the key
 */
// Never compared, and copying each value would double the cost of a read.
@SuppressWarnings("ArrayRecordComponent")
public record StoreRecord(long offset, String key, byte[] value) {}
