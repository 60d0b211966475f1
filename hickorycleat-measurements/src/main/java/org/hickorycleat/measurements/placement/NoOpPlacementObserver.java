package org.hickorycleat.measurements.placement;

import org.hickorycleat.logic.interference.LatencyMeasurement;
import org.hickorycleat.logic.placement.PlacementView.PlacedTask;
import org.hickorycleat.logic.scheduling.PlacementObserver;
import org.hickorycleat.model.identifier.TaskId;
import org.hickorycleat.model.identifier.WorkerId;
import org.hickorycleat.model.task.Resources;
import org.hickorycleat.model.task.TaskSpecification;
import org.hickorycleat.model.task.TaskState;

/** Observer that ignores every notification. */
class NoOpPlacementObserver implements PlacementObserver {
    @Override
    public void onAttemptRunning(PlacedTask task, long nowMs) {}

    @Override
    public void onAttemptEnded(PlacedTask task, TaskState state, long nowMs) {}

    @Override
    public void onTaskRemoved(TaskId task) {}

    @Override
    public void onWorkerRestarted(WorkerId worker) {}

    @Override
    public void onUsageMeasured(TaskSpecification task, Resources used) {}

    @Override
    public void onLatencyMeasured(LatencyMeasurement measurement) {}
}
