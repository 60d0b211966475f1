package org.hickorycleat.model.job;

/** State of a job as callers see it. */
public enum JobState {
    /** No task has started. */
    QUEUED,
    /** A task has started. */
    RUNNING,
    /** All tasks are done. */
    COMPLETED,
    /** A task has failed the maximum number of times that its queue allows. */
    FAILED,
    /** The caller cancelled the job. */
    CANCELLED;

    /** Returns whether the state is final. */
    public boolean isFinal() {
        return this == COMPLETED || this == FAILED || this == CANCELLED;
    }
}
