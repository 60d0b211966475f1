package org.hickorycleat.measurements.placement;

import org.hickorycleat.logic.interference.LatencyMeasurement;
import org.hickorycleat.logic.placement.PlacementView.PlacedTask;
import org.hickorycleat.logic.scheduling.PlacementObserver;
import org.hickorycleat.model.identifier.TaskId;
import org.hickorycleat.model.identifier.WorkerId;
import org.hickorycleat.model.task.Resources;
import org.hickorycleat.model.task.TaskSpecification;
import org.hickorycleat.model.task.TaskState;

/** Observer of policies that learn nothing. */
class IgnoringObserver implements PlacementObserver {
    @Override
    public void running(PlacedTask task, long nowMs) {}

    @Override
    public void ended(PlacedTask task, TaskState state, long nowMs) {}

    @Override
    public void forgotten(TaskId task) {}

    @Override
    public void workerRestarted(WorkerId worker) {}

    @Override
    public void usageMeasured(TaskSpecification task, Resources used) {}

    @Override
    public void latencyMeasured(LatencyMeasurement measurement) {}
}
