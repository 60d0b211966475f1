package org.hickorycleat.model.identifier;

/**
 * Identity of a request: the incarnation of the entry that accepted it and a counter, so that it
 * never repeats across restarts.
 */
public record RequestId(ProcessId entry, Incarnation incarnation, long counter) {
    @Override
    public String toString() {
        return entry + "/" + incarnation + "/" + counter;
    }
}
