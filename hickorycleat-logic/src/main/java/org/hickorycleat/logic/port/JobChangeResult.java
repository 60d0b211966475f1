package org.hickorycleat.logic.port;

/** Result of a change to a job that a caller requested. */
public enum JobChangeResult {
    /** The change is durable. */
    DONE,
    /** The change was not committed and never will be. */
    NOT_DONE,
    /** The change may have been committed. */
    UNKNOWN,
    /** No such job exists. */
    NO_SUCH_JOB,
    /** The change does not fit into a record of the store and was not committed. */
    TOO_LARGE
}
