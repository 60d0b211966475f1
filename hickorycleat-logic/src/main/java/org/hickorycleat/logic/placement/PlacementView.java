package org.hickorycleat.logic.placement;

import java.util.Collection;
import java.util.Map;
import java.util.Optional;
import org.hickorycleat.model.identifier.TeamName;
import org.hickorycleat.model.identifier.WorkerId;
import org.hickorycleat.model.task.Resources;
import org.hickorycleat.model.task.TaskSpecification;

/** State of a shard as a placement policy sees it; must not change during a call of the policy. */
public interface PlacementView {
    /** Returns the workers of the shard. */
    Collection<WorkerView> workers();

    /** Returns a worker, if the shard has it. */
    Optional<WorkerView> worker(WorkerId worker);

    /** Returns the pending tasks. */
    Collection<PendingTask> pendingTasks();

    /** Returns the tasks that hold resources, including starting, stopping and uncertain ones. */
    Collection<PlacedTask> placedTasks();

    /** Returns the quota of each team; a team without an entry is not limited. */
    Map<TeamName, Resources> quotas();

    /**
     * A task that waits for placement.
     *
     * @param specification the task
     * @param submittedMs time from which it has been waiting
     * @param progressMs run time saved in its checkpoint
     * @param evictions number of times it was evicted
     * @param failures number of times it failed
     */
    record PendingTask(
            TaskSpecification specification,
            long submittedMs,
            long progressMs,
            int evictions,
            int failures) {}

    /**
     * A task that holds resources of a worker.
     *
     * @param specification the task
     * @param worker the worker
     * @param startedMs start of the attempt
     * @param checkpointMs time of the last checkpoint, or the start
     * @param progressMs run time saved in its checkpoint when the attempt started
     * @param evictions number of times it was evicted
     * @param phase phase of the attempt
     * @param throttlePermille share of its processor time that it may use, in thousandths; 1000 if
     *     not throttled
     */
    record PlacedTask(
            TaskSpecification specification,
            WorkerId worker,
            long startedMs,
            long checkpointMs,
            long progressMs,
            int evictions,
            Phase phase,
            int throttlePermille) {}

    /** Phase of a placed task. */
    enum Phase {
        /** Start recorded but not confirmed by the worker. */
        STARTING,
        /** Start confirmed by the worker. */
        RUNNING,
        /** Stop requested. */
        STOPPING,
        /** On a worker that does not respond. */
        UNCERTAIN
    }
}
