package org.hickorycleat.logic.placement;

import org.hickorycleat.model.task.TaskSpecification;

/** Decides whether and how gladly a task is placed on a worker that has room for it. */
public interface PlacementConstraint {
    /** Allows everything. */
    PlacementConstraint NONE = (task, worker, view) -> 0;

    /** Penalty that forbids the placement. */
    double FORBIDDEN = Double.POSITIVE_INFINITY;

    /**
     * Returns a penalty, in units in which 1 outweighs any difference in free room; a negative one
     * attracts, infinity forbids the placement.
     */
    double penalty(TaskSpecification task, WorkerView worker, IndexedPlacementView view);

    /** Tells whether the penalty of a task is not 0 anywhere. */
    default boolean appliesTo(TaskSpecification task) {
        return true;
    }

    /** Learns that a start was decided. */
    default void onStart(TaskSpecification task, WorkerView worker) {}
}
