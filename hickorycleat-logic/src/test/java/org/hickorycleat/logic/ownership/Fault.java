package org.hickorycleat.logic.ownership;

/** Fault or change applied by a fuzz step; most last for the duration of the step. */
enum Fault {
    NONE,
    PAUSE_OWNER,
    RESTART_OWNER,
    LOSE_APPEND_RESPONSES,
    SLOW_LOG,
    LOG_DOWN,
    DISCONNECT_OWNER_FROM_LOG,
    TRUNCATE_LOG,
    RESTART_WORKER,
    WORKER_UNREACHABLE,
    LOSE_WORKER_RESPONSES,
    RESTART_AGENT,
    PAUSE_AGENT,
    SLOW_CONNECTIONS,
    DISCONNECT_AGENT_FROM_OWNER,
    DISCONNECT_AGENT,
    ADD_JOB,
    CANCEL_JOB,
    EVICT
}
