package org.hickorycleat.model.task;

/** State of an attempt of a task. */
public enum TaskState {
    /** The start was sent to the worker and is not confirmed yet. */
    STARTING,
    /** The worker runs it. */
    RUNNING,
    /** The stop was sent to the worker and is not confirmed yet. */
    STOPPING,
    /** Stopped on request; its last checkpoint is available. */
    STOPPED,
    /** Completed successfully. */
    SUCCEEDED,
    /** Completed with a failure. */
    FAILED,
    /** Terminated because its lease expired. */
    EXPIRED,
    /** Rejected by the worker; it was not started. */
    REFUSED
}
