package org.hickorycleat.model.job;

/** Why a run was not started; in every case it has not run and never will. */
public enum RejectionReason {
    /** The worker has no room. */
    NO_ROOM,
    /** The run number is not above that of an earlier run there. */
    OLD_RUN,
    /** The lease had expired or none was granted yet. */
    NO_LEASE,
    /** The ticket is missing or no longer valid. */
    NO_TICKET,
    /** The worker is leaving. */
    DRAINING,
    /** The worker is unhealthy or could not be reached. */
    UNAVAILABLE,
    /** The worker refused the order as malformed. */
    MALFORMED
}
