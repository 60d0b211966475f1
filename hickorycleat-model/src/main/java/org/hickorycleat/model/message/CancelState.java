package org.hickorycleat.model.message;

/** What the agent knows of a cancelled request. */
public enum CancelState {
    /** It did not run and will not run. */
    NOT_RUN,
    /** It is running. */
    RUNNING,
    /** It ended; the result is attached. */
    FINISHED
}
