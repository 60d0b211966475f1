package org.hickorycleat.logic.invocation;

/** What an agent knows of a request that an entry sent it. */
sealed interface RequestRecord {
    /** Time from which the record may be dropped; the entry has then long answered its caller. */
    long droppedFromMs();

    /** Waits for its execution. */
    record Waiting(Waiter waiter) implements RequestRecord {
        @Override
        public long droppedFromMs() {
            return Long.MAX_VALUE;
        }
    }

    /** Was cancelled before it started; a copy of it that arrives later must not start. */
    record Cancelled(long droppedFromMs) implements RequestRecord {}

    /** Ended with an answer. */
    record Ended(Answer answer, long droppedFromMs) implements RequestRecord {}
}
