package org.hickorycleat.model.task;

import org.hickorycleat.model.identifier.TaskId;
import org.hickorycleat.model.identifier.WorkerId;
import org.hickorycleat.model.result.ResultCode;

/** A decision of the placement policy; it is applied only once it is committed to the log. */
public sealed interface PlacementDecision {
    /** Returns the task that the decision concerns. */
    TaskId task();

    /** Starts the next attempt of a task on a worker. */
    record Start(TaskId task, WorkerId worker) implements PlacementDecision {}

    /**
     * Checkpoints and stops the running attempt of a task; the task is pending again once stopped.
     */
    record Evict(TaskId task, String reason) implements PlacementDecision {}

    /** Limits the processor time of the running attempt, in thousandths; 1000 removes the limit. */
    record Throttle(TaskId task, int permille, String reason) implements PlacementDecision {}

    /** Rejects a task permanently. */
    record Reject(TaskId task, ResultCode code, String reason) implements PlacementDecision {}
}
