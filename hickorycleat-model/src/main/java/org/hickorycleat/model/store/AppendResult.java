package org.hickorycleat.model.store;

/** Result of an append. */
public enum AppendResult {
    /** The records are durable. */
    APPENDED,
    /** The partition does not end at the offset that the request expects. */
    OFFSET_CHANGED,
    /** A newer epoch of the producer exists. */
    FENCED,
    /** The sequence number does not directly follow the last one. */
    SEQUENCE_GAP,
    /** The store rejected the request, or the request was never sent; nothing was appended. */
    REFUSED,
    /** The append may have been committed or may still be. */
    UNKNOWN,
    /** The store never accepts this request, for example because a record is too large. */
    INVALID,
    /** The store has no room for further records; nothing was appended. */
    FULL
}
