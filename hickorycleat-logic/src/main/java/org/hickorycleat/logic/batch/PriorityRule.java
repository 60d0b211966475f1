package org.hickorycleat.logic.batch;

/** Orders waiting batch jobs: the job with the lowest key goes first. */
@FunctionalInterface
public interface PriorityRule {
    /** Returns the priority key of a job at a time. */
    double key(BatchJob job, long nowMs);
}
