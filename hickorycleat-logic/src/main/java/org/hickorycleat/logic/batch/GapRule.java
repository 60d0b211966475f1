package org.hickorycleat.logic.batch;

/** Choice among the gaps that can hold a job: the lowest cost wins. */
@FunctionalInterface
public interface GapRule {
    /** Returns the cost of a gap. */
    double cost(Gap gap);
}
