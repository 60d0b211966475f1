package org.hickorycleat.logic.ownership;

/** What replay made of one record. */
public record ReplayStep(long offset, Result result, ShardRecord content) {
    /** Meaning of a record at its position in the log. */
    public enum Result {
        /** The record took effect. */
        APPLIED,
        /** A newer claim stands before it, or a claim replaces the wrong one. */
        INVALID,
        /** The batch was seen before. */
        DUPLICATE
    }
}
