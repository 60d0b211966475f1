package org.hickorycleat.model.store;

/**
 * Outcome of an append.
 *
 * @param offset first offset of a committed append; for an unmet condition the end offset of the
 *     partition or the expected sequence number; else 0
 */
public record AppendOutcome(AppendResult result, long offset) {}
