package org.hickorycleat.model.store;

/** Result of an append. */
public enum AppendResult {
    /** The records are durable. */
    APPENDED(true),
    /** The partition does not end at the offset that the request expects. */
    OFFSET_CHANGED(false),
    /** A newer epoch of the producer exists. */
    FENCED(true),
    /** The sequence number does not directly follow the last one. */
    SEQUENCE_GAP(true),
    /** The store rejected the request, or the request was never sent; nothing was appended. */
    REFUSED(false),
    /** The append may have been committed or may still be. */
    UNKNOWN(false),
    /** The store never accepts this request, for example because a record is too large. */
    INVALID(true),
    /** The store has no room for further records; nothing was appended. */
    FULL(false);

    private final boolean mConclusiveForRequest;

    AppendResult(boolean conclusiveForRequest) {
        mConclusiveForRequest = conclusiveForRequest;
    }

    /**
     * Returns whether this result of one copy of a request settles the request, although another
     * copy of it has no response and may have been executed.
     */
    public boolean isConclusiveForRequest() {
        return mConclusiveForRequest;
    }
}
