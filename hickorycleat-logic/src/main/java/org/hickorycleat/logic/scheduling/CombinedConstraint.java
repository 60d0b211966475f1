package org.hickorycleat.logic.scheduling;

import org.hickorycleat.logic.placement.IndexedPlacementView;
import org.hickorycleat.logic.placement.PlacementConstraint;
import org.hickorycleat.logic.placement.WorkerView;
import org.hickorycleat.model.task.TaskSpecification;

/** Combines two constraints: adds their penalties and forbids what either forbids. */
record CombinedConstraint(PlacementConstraint first, PlacementConstraint second)
        implements PlacementConstraint {
    @Override
    public double penalty(TaskSpecification task, WorkerView worker, IndexedPlacementView view) {
        double penalty = first.penalty(task, worker, view);
        return penalty == FORBIDDEN ? penalty : penalty + second.penalty(task, worker, view);
    }

    @Override
    public boolean appliesTo(TaskSpecification task) {
        return first.appliesTo(task) || second.appliesTo(task);
    }

    @Override
    public void onStart(TaskSpecification task, WorkerView worker) {
        first.onStart(task, worker);
        second.onStart(task, worker);
    }
}
