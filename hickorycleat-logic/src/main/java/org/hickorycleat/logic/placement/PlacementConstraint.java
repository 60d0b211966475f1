package org.hickorycleat.logic.placement;

import org.hickorycleat.model.task.TaskSpecification;

/** Allows, penalizes or forbids the placement of a task on a worker with enough free resources. */
public interface PlacementConstraint {
    /** Allows every placement without a penalty. */
    PlacementConstraint NONE = (task, worker, view) -> 0;

    /** Penalty that forbids the placement. */
    double FORBIDDEN = Double.POSITIVE_INFINITY;

    /**
     * Returns the penalty of a placement. A penalty of 1 outweighs any difference in free
     * resources, a negative one makes the placement preferred, and {@link #FORBIDDEN} rules it out.
     */
    double penalty(TaskSpecification task, WorkerView worker, IndexedPlacementView view);

    /** Returns whether the penalty of a task may differ from 0 on some worker. */
    default boolean appliesTo(TaskSpecification task) {
        return true;
    }

    /** Handles the decision to start a task on a worker. */
    default void onStart(TaskSpecification task, WorkerView worker) {}
}
