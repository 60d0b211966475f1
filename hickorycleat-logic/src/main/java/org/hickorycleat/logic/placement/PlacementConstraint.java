package org.hickorycleat.logic.placement;

import org.hickorycleat.model.task.TaskSpecification;

/** Decides whether and how gladly a task is placed on a worker that has room for it. */
public interface PlacementConstraint {
    /** Allows everything. */
    PlacementConstraint NONE = (task, worker, view) -> 0;

    /** Penalty that forbids the placement. */
    double FORBIDDEN = Double.POSITIVE_INFINITY;

    /** Returns a penalty of at least 0; infinity forbids the placement. */
    double penalty(TaskSpecification task, WorkerView worker, IndexedPlacementView view);

    /** Tells whether the penalty of a task is not 0 anywhere. */
    default boolean concerns(TaskSpecification task) {
        return true;
    }
}
