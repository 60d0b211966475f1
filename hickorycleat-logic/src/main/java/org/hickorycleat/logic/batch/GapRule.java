package org.hickorycleat.logic.batch;

/** Rates the gaps that can hold a job; the gap with the lowest cost is selected. */
@FunctionalInterface
public interface GapRule {
    /** Returns the cost of a gap. */
    double cost(Gap gap);
}
