package org.hickorycleat.logic.batch;

/** Order of waiting batch jobs: the lowest key goes first. */
@FunctionalInterface
public interface PriorityRule {
    /** Returns the key of a job at a time. */
    double key(BatchJob job, long nowMs);
}
