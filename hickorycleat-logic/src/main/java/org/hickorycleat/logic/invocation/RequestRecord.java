package org.hickorycleat.logic.invocation;

/** Record of a request from an entry at an agent. */
sealed interface RequestRecord {
    /**
     * Returns the time from which the record may be removed; by then the entry has responded to its
     * caller.
     */
    long expiryMs();

    /** The request waits for its execution. */
    record Waiting(Waiter waiter) implements RequestRecord {
        @Override
        public long expiryMs() {
            return Long.MAX_VALUE;
        }
    }

    /**
     * Tombstone of a request cancelled before its start; a copy that arrives later must not start.
     */
    record Cancelled(long expiryMs) implements RequestRecord {}

    /** The request has ended with a response. */
    record Ended(ExecutionResponse response, long expiryMs) implements RequestRecord {}
}
