package org.hickorycleat.model.store;

/**
 * Outcome of an append.
 *
 * @param offset for an append that took effect its first offset, for an unmet condition the end of
 *     the partition or the expected sequence number, else 0
 */
public record AppendOutcome(AppendResult result, long offset) {}
