package org.hickorycleat.model.job;

/** Where a task stands. */
public enum TaskStatus {
    /** Not on any worker. */
    PENDING,
    /** A run of it may be on a worker. */
    ACTIVE,
    /** A run of it has ended well. */
    DONE
}
