package org.hickorycleat.model.store;

/** Kinds of outcome of an append. */
public enum AppendResult {
    /** The records are durable. */
    APPENDED,
    /** The partition does not end at the offset that the call named. */
    OFFSET_CHANGED,
    /** A newer epoch of the producer exists. */
    FENCED,
    /** The sequence number does not follow the last one. */
    SEQUENCE_GAP,
    /** The store refused the call and did nothing. */
    REFUSED,
    /** The call may have taken effect or may do so later. */
    UNKNOWN
}
