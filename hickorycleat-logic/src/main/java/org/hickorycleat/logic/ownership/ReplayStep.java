package org.hickorycleat.logic.ownership;

/** Result of the replay of one record. */
public record ReplayStep(long offset, Result result, ShardRecord content) {
    /** Effect of a record at its position in the log. */
    public enum Result {
        /** The record was applied. */
        APPLIED,
        /**
         * The record follows a newer claim, or is a claim that does not replace the latest valid
         * one.
         */
        INVALID,
        /** The batch has already been applied. */
        DUPLICATE
    }
}
