package org.hickorycleat.logic.dispatch;

/** Phase of a run as the owner knows it. */
enum RunPhase {
    /** The start is being persisted; nothing has been sent. */
    PERSISTING,
    /** The start was sent to the agent by this owner. */
    START_SENT,
    /** The worker has listed the run. */
    RUNNING,
    /** A previous owner may have started the run. */
    INHERITED
}
