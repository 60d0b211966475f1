package org.hickorycleat.logic.ownership;

/** Reason why an attempt is stopped. */
public enum StopCause {
    /** Frees resources for other work; the task resumes from its latest checkpoint. */
    EVICTED,
    /** The task is no longer in the manifest. */
    CANCELLED
}
