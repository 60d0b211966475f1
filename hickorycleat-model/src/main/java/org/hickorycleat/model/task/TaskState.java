package org.hickorycleat.model.task;

/** State of an attempt of a task. */
public enum TaskState {
    /** Sent to the worker, not confirmed. */
    STARTING,
    /** Runs. */
    RUNNING,
    /** Asked to stop, not confirmed. */
    STOPPING,
    /** Ended by a stop, with its last checkpoint. */
    STOPPED,
    /** Ended well. */
    SUCCEEDED,
    /** Ended with a failure. */
    FAILED,
    /** Ended because its lease expired. */
    EXPIRED,
    /** The worker did not start it. */
    REFUSED
}
