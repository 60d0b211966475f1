package org.hickorycleat.model.job;

/** Reason why a run ended. */
public enum EndCause {
    /** The run completed successfully. */
    DONE,
    /** The run failed, through an error of its own or of the worker. */
    FAILED,
    /** The run was stopped by a command. */
    STOPPED,
    /** The lease expired. */
    LAPSED,
    /** Another member of its gang ended. */
    BROKEN,
    /** It waited too long for the other members of its gang. */
    ALONE
}
