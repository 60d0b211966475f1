package org.hickorycleat.model.message;

/** Role of a process. */
public enum ProcessRole {
    /** Serves callers and owns placement shards. */
    ENTRY,
    /** Runs next to a local target or worker. */
    AGENT
}
