package org.hickorycleat.logic.log;

import org.hickorycleat.model.identifier.RecordId;

/**
 * A record to append.
 *
 * @param id identity that the payload carries
 * @param payload content
 * @param searchFromOffset offset at or before which the record cannot be, for example the next
 *     offset that the writer had to read when it created the record
 */
@SuppressWarnings("ArrayRecordComponent") // Copied neither in nor out: never changed.
public record AppendRequest(RecordId id, byte[] payload, long searchFromOffset) {}
