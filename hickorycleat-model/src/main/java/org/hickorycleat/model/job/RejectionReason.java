package org.hickorycleat.model.job;

/** Reason why a run was rejected; in every case it has not run and never will. */
public enum RejectionReason {
    /** The worker has too few free resources. */
    NO_ROOM,
    /** The run number is not higher than that of an earlier run of the task on the worker. */
    OLD_RUN,
    /** The lease has expired or none was granted yet. */
    NO_LEASE,
    /** The ticket is missing or no longer valid. */
    NO_TICKET,
    /** The worker is draining. */
    DRAINING,
    /** The worker is unhealthy or could not be reached. */
    UNAVAILABLE,
    /** The worker rejected the command as malformed. */
    MALFORMED,
    /** The command was sent in another session than the current one of the agent. */
    OTHER_SESSION
}
