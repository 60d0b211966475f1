package org.hickorycleat.model.identifier;

/**
 * Identity of a request: the entry that accepted it, that entry's incarnation and a counter. The
 * incarnation keeps ids unique across restarts.
 */
public record RequestId(ProcessId entry, Incarnation incarnation, long counter) {
    @Override
    public String toString() {
        return entry + "/" + incarnation + "/" + counter;
    }
}
