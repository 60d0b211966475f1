package org.hickorycleat.measurements.placement;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Optional;
import java.util.Random;
import org.hickorycleat.logic.placement.IncrementalPlacementView;
import org.hickorycleat.logic.placement.PlacementView.PendingTask;
import org.hickorycleat.logic.placement.PlacementView.Phase;
import org.hickorycleat.logic.placement.PlacementView.PlacedTask;
import org.hickorycleat.logic.placement.WorkerView;
import org.hickorycleat.model.identifier.ServiceName;
import org.hickorycleat.model.identifier.TaskId;
import org.hickorycleat.model.identifier.TeamName;
import org.hickorycleat.model.identifier.WorkerId;
import org.hickorycleat.model.manifest.Criticality;
import org.hickorycleat.model.task.PlacementDecision;
import org.hickorycleat.model.task.Resources;
import org.hickorycleat.model.task.TaskSpecification;

/** A fleet in steady state, in which queued tasks replace each task that ends. */
final class ScaleFleet {
    private static final int TEAMS = 740;
    private static final int TASKS_AT_FULL_SIZE = 23_400;
    private static final int SERVICE_TASKS_AT_FULL_SIZE = 5_400;
    private static final int WORKERS_AT_FULL_SIZE = 2_100;

    private final IncrementalPlacementView mView = new IncrementalPlacementView();
    private final Random mRandom;
    private final Deque<PlacedTask> mRunningBatch = new ArrayDeque<>();
    private long mNextNumber;

    /** Creates a fleet whose number of tasks is proportional to its number of workers. */
    ScaleFleet(int workers, long seed) {
        mRandom = new Random(seed);
        FleetProfile.TOKACHI.workers(workers).forEach(mView::putWorker);
        for (int i = 0; i < TEAMS; i++) {
            mView.putQuota(new TeamName("team-" + i), new Resources(1_000_000, 4_000_000, 100));
        }
        int services = SERVICE_TASKS_AT_FULL_SIZE * workers / WORKERS_AT_FULL_SIZE;
        int tasks = TASKS_AT_FULL_SIZE * workers / WORKERS_AT_FULL_SIZE;
        int workerIndex = 0;
        for (WorkerView worker : mView.workers()) {
            int endIndex = tasks * (workerIndex + 1) / workers;
            for (int i = tasks * workerIndex / workers; i < endIndex; i++) {
                boolean service = mRandom.nextInt(tasks) < services;
                placeIfFits(worker.worker(), service);
            }
            workerIndex++;
        }
    }

    IncrementalPlacementView view() {
        return mView;
    }

    private void placeIfFits(WorkerId worker, boolean service) {
        TaskSpecification task = task(service);
        if (!task.resources().fitsInto(mView.worker(worker).orElseThrow().free())) {
            return;
        }
        place(task, worker, -mRandom.nextInt(600_000));
    }

    private void place(TaskSpecification task, WorkerId worker, long startedMs) {
        PlacedTask placed =
                new PlacedTask(task, worker, startedMs, startedMs, 0, 0, Phase.RUNNING, 1_000);
        mView.putPlaced(placed);
        if (task.service().isEmpty()) {
            mRunningBatch.addLast(placed);
        }
    }

    private TaskSpecification task(boolean service) {
        long number = mNextNumber++;
        long cores = 1L + mRandom.nextInt(5);
        Optional<ServiceName> name =
                service
                        ? Optional.of(new ServiceName("service-" + number % 490))
                        : Optional.empty();
        return new TaskSpecification(
                new TaskId("job-" + number % 5_000 + "/" + number),
                new TeamName("team-" + number % TEAMS),
                name,
                Criticality.NORMAL,
                new Resources(cores * 1_000, cores * 3_800, 0),
                service ? 0 : 60_000 + mRandom.nextInt(1_200_000),
                0,
                service ? Long.MAX_VALUE : mRandom.nextInt(36_000_000),
                true,
                false);
    }

    void submit(int count, long nowMs) {
        for (int i = 0; i < count; i++) {
            mView.addPending(new PendingTask(task(false), nowMs, 0, 0, 0));
        }
    }

    void endOldest(int count) {
        for (int i = 0; i < count && !mRunningBatch.isEmpty(); i++) {
            mView.removePlaced(mRunningBatch.removeFirst().specification().task());
        }
    }

    void cancelPending(int count) {
        mView.pendingTasks().stream()
                .limit(count)
                .toList()
                .forEach(task -> mView.removePending(task.specification().task()));
    }

    boolean apply(PlacementDecision decision, long nowMs) {
        if (decision instanceof PlacementDecision.Start start) {
            place(mView.pending(start.task()).orElseThrow().specification(), start.worker(), nowMs);
            return true;
        }
        return false;
    }
}
