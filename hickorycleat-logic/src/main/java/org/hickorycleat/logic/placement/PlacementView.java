package org.hickorycleat.logic.placement;

import java.util.Collection;
import java.util.Map;
import java.util.Optional;
import org.hickorycleat.model.identifier.TeamName;
import org.hickorycleat.model.identifier.WorkerId;
import org.hickorycleat.model.task.Resources;
import org.hickorycleat.model.task.TaskSpecification;

/** What a placement policy may see of a shard; a snapshot that does not change while it decides. */
public interface PlacementView {
    /** Returns the workers of the shard. */
    Collection<WorkerView> workers();

    /** Finds a worker. */
    Optional<WorkerView> worker(WorkerId worker);

    /** Returns tasks that are not on any worker. */
    Collection<PendingTask> pendingTasks();

    /** Returns tasks that hold resources, including starting, stopping and uncertain ones. */
    Collection<PlacedTask> placedTasks();

    /** Returns the quota of each team; a team without entry has none to observe. */
    Map<TeamName, Resources> quotas();

    /**
     * A task to place.
     *
     * @param specification the task
     * @param submittedMs time since which it has been waiting
     * @param progressMs run time saved in its checkpoint
     * @param evictions times it was evicted
     * @param failures times it failed
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
     * @param evictions times it was evicted
     * @param phase phase of the attempt
     * @param throttlePermille share of the processor time that it may use; 1000 for all
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
        /** Recorded, not confirmed by the worker. */
        STARTING,
        /** Confirmed by the worker. */
        RUNNING,
        /** Asked to stop. */
        STOPPING,
        /** On a worker that does not answer. */
        UNCERTAIN
    }
}
