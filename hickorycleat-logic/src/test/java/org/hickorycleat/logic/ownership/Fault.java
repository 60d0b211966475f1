package org.hickorycleat.logic.ownership;

/** What a fuzz step does; most last until the step's duration is over. */
enum Fault {
    NONE,
    PAUSE_OWNER,
    RESTART_OWNER,
    LOSE_APPEND_ANSWERS,
    SLOW_LOG,
    LOG_DOWN,
    CUT_LOG,
    EXPIRE_LOG,
    RESTART_WORKER,
    WORKER_UNREACHABLE,
    LOSE_WORKER_ANSWERS,
    RESTART_AGENT,
    PAUSE_AGENT,
    SLOW_CONNECTIONS,
    CUT_CONNECTION,
    CUT_AGENT,
    ADD_JOB,
    CANCEL_JOB,
    EVICT
}
