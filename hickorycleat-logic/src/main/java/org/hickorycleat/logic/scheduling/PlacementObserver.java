package org.hickorycleat.logic.scheduling;

import org.hickorycleat.logic.interference.LatencyMeasurement;
import org.hickorycleat.logic.placement.PlacementView.PlacedTask;
import org.hickorycleat.model.identifier.TaskId;
import org.hickorycleat.model.identifier.WorkerId;
import org.hickorycleat.model.task.Resources;
import org.hickorycleat.model.task.TaskSpecification;
import org.hickorycleat.model.task.TaskState;

/** Receives the observations of the owner of a shard, on the thread that also calls the policy. */
public interface PlacementObserver {
    /** Records that an attempt is running or that its throttle changed. */
    void onAttemptRunning(PlacedTask task, long nowMs);

    /** Records the end of an attempt in a final state. */
    void onAttemptEnded(PlacedTask task, TaskState state, long nowMs);

    /** Records that a task was removed permanently: done, rejected or cancelled. */
    void onTaskRemoved(TaskId task);

    /** Records that a worker restarted with a new incarnation. */
    void onWorkerRestarted(WorkerId worker);

    /** Records the measured resource usage of a task. */
    void onUsageMeasured(TaskSpecification task, Resources used);

    /** Records a measured latency of a service. */
    void onLatencyMeasured(LatencyMeasurement measurement);
}
