package org.hickorycleat.model.job;

/** How a run ended. */
public enum EndCause {
    /** It did its work. */
    DONE,
    /** It failed, through its own fault or the worker's. */
    FAILED,
    /** It was stopped on an order. */
    STOPPED,
    /** The lease expired. */
    LAPSED,
    /** Another member of its gang ended. */
    BROKEN,
    /** It waited too long for the other members of its gang. */
    ALONE
}
