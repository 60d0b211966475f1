package org.hickorycleat.logic.port;

/** Outcome of a change that a caller asked for. */
public enum JobChangeResult {
    /** The change is durable. */
    DONE,
    /** The change has not taken effect and never will. */
    NOT_DONE,
    /** The change may have taken effect. */
    UNKNOWN,
    /** No such job exists. */
    NO_SUCH_JOB
}
