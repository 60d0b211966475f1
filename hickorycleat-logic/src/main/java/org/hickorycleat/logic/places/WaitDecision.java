package org.hickorycleat.logic.places;

/** Whether a task waits for its rack, and if not, why. */
public enum WaitDecision {
    /** The task waits. */
    WAIT,
    /** No place is expected in the rack: it is lost, drains or has no such worker. */
    NO_PLACE,
    /** The run elsewhere is expected to end earlier. */
    DOES_NOT_PAY,
    /** The task would wait longer, since it became ready, than a run elsewhere takes longer. */
    LIMIT_REACHED,
    /** A later start elsewhere would miss the objective of the job. */
    NO_SLACK
}
