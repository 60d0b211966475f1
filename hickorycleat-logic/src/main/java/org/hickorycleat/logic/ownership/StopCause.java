package org.hickorycleat.logic.ownership;

/** Why an attempt is stopped. */
public enum StopCause {
    /** Makes room for other work; the task resumes from its checkpoint. */
    EVICTED,
    /** The task is no longer in the manifest. */
    CANCELLED
}
