package org.hickorycleat.logic.dispatch;

/** Where a run stands in the eyes of the owner. */
enum RunPhase {
    /** The start is being made durable; nothing has been sent. */
    PERSISTING,
    /** The start was sent in this session of the agent. */
    ORDERED,
    /** The worker has listed it. */
    RUNNING,
    /** A former owner may have started it. */
    INHERITED
}
