package org.hickorycleat.model.job;

/** Status of a task. */
public enum TaskStatus {
    /** Not on any worker. */
    PENDING,
    /** A run of the task may be on a worker. */
    ACTIVE,
    /** A run of the task has completed successfully. */
    DONE
}
