package org.hickorycleat.logic.scheduling;

import org.hickorycleat.logic.interference.LatencyMeasurement;
import org.hickorycleat.logic.placement.PlacementView.PlacedTask;
import org.hickorycleat.model.identifier.TaskId;
import org.hickorycleat.model.identifier.WorkerId;
import org.hickorycleat.model.task.Resources;
import org.hickorycleat.model.task.TaskSpecification;
import org.hickorycleat.model.task.TaskState;

/** What the owner of a shard tells the policy, on the thread that calls it. */
public interface PlacementObserver {
    /** Records that an attempt runs, or that its throttle changed. */
    void onAttemptRunning(PlacedTask task, long nowMs);

    /** Records the end of an attempt in a state that ends it. */
    void onAttemptEnded(PlacedTask task, TaskState state, long nowMs);

    /** Records that a task is gone for good: done, rejected or cancelled. */
    void onTaskRemoved(TaskId task);

    /** Records that a worker came back with a new incarnation. */
    void onWorkerRestarted(WorkerId worker);

    /** Records what a task uses. */
    void onUsageMeasured(TaskSpecification task, Resources used);

    /** Records a latency of a service. */
    void onLatencyMeasured(LatencyMeasurement measurement);
}
