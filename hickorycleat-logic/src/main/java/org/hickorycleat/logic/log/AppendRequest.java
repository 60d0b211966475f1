package org.hickorycleat.logic.log;

import org.hickorycleat.model.identifier.RecordId;

/**
 * A record to append.
 *
 * @param id identity contained in the payload
 * @param payload encoded record
 * @param searchFromOffset first offset at which the record can be, for example the next offset that
 *     the writer had to read when it created the record
 */
@SuppressWarnings("ArrayRecordComponent") // Not copied, because the array is never modified.
public record AppendRequest(RecordId id, byte[] payload, long searchFromOffset) {}
