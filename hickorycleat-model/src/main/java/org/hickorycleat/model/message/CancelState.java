package org.hickorycleat.model.message;

/** State of a cancelled request at its agent. */
public enum CancelState {
    /** The request was not executed and will not be. */
    NOT_RUN,
    /** The request is being executed. */
    RUNNING,
    /** The request has ended; the result is attached. */
    FINISHED
}
