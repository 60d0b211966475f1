package org.hickorycleat.logic.placement;

import java.util.List;
import java.util.Optional;
import org.hickorycleat.logic.placement.PlacementView.PendingTask;
import org.hickorycleat.logic.placement.PlacementView.Phase;
import org.hickorycleat.logic.placement.PlacementView.PlacedTask;
import org.hickorycleat.model.identifier.RackId;
import org.hickorycleat.model.identifier.ServiceName;
import org.hickorycleat.model.identifier.TaskId;
import org.hickorycleat.model.identifier.TeamName;
import org.hickorycleat.model.identifier.WorkerId;
import org.hickorycleat.model.identifier.ZoneId;
import org.hickorycleat.model.manifest.Criticality;
import org.hickorycleat.model.task.PlacementDecision;
import org.hickorycleat.model.task.Resources;
import org.hickorycleat.model.task.TaskSpecification;

/** Workers and tasks of a test; applies decisions as an owner does after committing them. */
final class FakeFleet {
    private final IncrementalPlacementView mView = new IncrementalPlacementView();

    IncrementalPlacementView view() {
        return mView;
    }

    static WorkerId worker(int number) {
        return new WorkerId("w" + number);
    }

    FakeFleet withWorkers(int count, Resources capacity) {
        for (int i = 0; i < count; i++) {
            mView.putWorker(
                    new WorkerView(
                            worker(i),
                            new RackId("r" + i / 3),
                            new ZoneId("z" + i / 3 % 3),
                            capacity,
                            Resources.NONE,
                            true));
        }
        return this;
    }

    static TaskSpecification batch(String id, Resources size, long estimatedMs, long deadlineMs) {
        return new TaskSpecification(
                new TaskId(id),
                new TeamName("team"),
                Optional.empty(),
                Criticality.NORMAL,
                size,
                estimatedMs,
                0,
                deadlineMs,
                true,
                false);
    }

    static TaskSpecification urgent(String id, Resources size) {
        TaskSpecification task = batch(id, size, 1_000, Long.MAX_VALUE);
        return new TaskSpecification(
                task.task(),
                task.team(),
                task.service(),
                Criticality.CRITICAL,
                size,
                1_000,
                0,
                Long.MAX_VALUE,
                true,
                true);
    }

    static TaskSpecification instance(String service, int number, Resources size) {
        return new TaskSpecification(
                new TaskId(service + "/" + number),
                new TeamName("team"),
                Optional.of(new ServiceName(service)),
                Criticality.CRITICAL,
                size,
                0,
                0,
                Long.MAX_VALUE,
                false,
                false);
    }

    void submit(TaskSpecification task, long nowMs) {
        mView.addPending(new PendingTask(task, nowMs, 0, 0, 0));
    }

    void addRunning(TaskSpecification task, int worker, long startedMs) {
        addRunning(task, worker, startedMs, 0);
    }

    void addRunning(TaskSpecification task, int worker, long startedMs, int evictions) {
        mView.putPlaced(
                new PlacedTask(
                        task,
                        worker(worker),
                        startedMs,
                        startedMs,
                        0,
                        evictions,
                        Phase.RUNNING,
                        1_000));
    }

    /**
     * Applies decisions: started tasks run, evicted ones are stopping, rejected ones are removed.
     */
    void apply(List<PlacementDecision> decisions, long nowMs) {
        for (PlacementDecision decision : decisions) {
            if (decision instanceof PlacementDecision.Start start) {
                start(start, nowMs);
            } else if (decision instanceof PlacementDecision.Evict evict) {
                markStopping(evict.task());
            } else if (decision instanceof PlacementDecision.Reject reject) {
                mView.removePending(reject.task());
            }
        }
    }

    /** Ends all stopping tasks and puts them back into the queue. */
    void finishStops(long nowMs) {
        for (PlacedTask task : List.copyOf(mView.placedTasks())) {
            if (task.phase() == Phase.STOPPING) {
                mView.removePlaced(task.specification().task());
                mView.addPending(
                        new PendingTask(task.specification(), nowMs, 0, task.evictions() + 1, 0));
            }
        }
    }

    private void start(PlacementDecision.Start start, long nowMs) {
        PendingTask pending = mView.pending(start.task()).orElseThrow();
        mView.putPlaced(
                new PlacedTask(
                        pending.specification(),
                        start.worker(),
                        nowMs,
                        nowMs,
                        pending.progressMs(),
                        pending.evictions(),
                        Phase.RUNNING,
                        1_000));
    }

    private void markStopping(TaskId id) {
        for (PlacedTask task : List.copyOf(mView.placedTasks())) {
            if (task.specification().task().equals(id)) {
                mView.putPlaced(
                        new PlacedTask(
                                task.specification(),
                                task.worker(),
                                task.startedMs(),
                                task.checkpointMs(),
                                task.progressMs(),
                                task.evictions(),
                                Phase.STOPPING,
                                task.throttlePermille()));
            }
        }
    }
}
