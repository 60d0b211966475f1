package org.hickorycleat.logic.dispatch;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import org.hickorycleat.logic.port.DecisionLog;
import org.hickorycleat.model.job.RunId;
import org.hickorycleat.model.job.WorkerPool;
import org.hickorycleat.model.job.WorkloadConfiguration;

/** Places ready tasks on workers in rounds. */
final class TaskPlacer {
    /** Maximum number of starts in one round; the remaining tasks follow in the next. */
    private static final int MAXIMUM_STARTS_PER_ROUND = 200;

    private final WorkerSelector mSelector;
    private final DispatchOrder mDispatchOrder;
    private final Collection<TrackedJob> mJobs;
    private final Collection<TrackedWorker> mWorkers;
    private final Consumer<TrackedRun> mStarter;
    private final DecisionLog mLog;
    private Optional<WorkloadConfiguration> mConfiguration = Optional.empty();
    private long mNowMs;

    /**
     * Creates a placer.
     *
     * @param jobs view of all jobs
     * @param workers view of all workers
     * @param starter persists placed runs and then sends their starts
     */
    TaskPlacer(
            WorkerSelector selector,
            DispatchOrder order,
            Collection<TrackedJob> jobs,
            Collection<TrackedWorker> workers,
            Consumer<TrackedRun> starter,
            DecisionLog log) {
        mSelector = selector;
        mDispatchOrder = order;
        mJobs = jobs;
        mWorkers = workers;
        mStarter = starter;
        mLog = log;
    }

    void onConfigurationChanged(WorkloadConfiguration configuration) {
        mConfiguration = Optional.of(configuration);
    }

    /** Returns the best worker for a task, or empty if none is eligible now. */
    Optional<TrackedWorker> selectWorker(TrackedTask task, long nowMs) {
        return mSelector.select(task, mWorkers, pool(task), nowMs);
    }

    /** Places the ready tasks for which a worker is available. */
    void place(long nowMs, long unixMs) {
        mNowMs = nowMs;
        List<TrackedTask> ready = ready(unixMs);
        mDispatchOrder.sort(ready, unixMs);
        int starts = 0;
        // All tasks of a step are equal: if there is no worker for one, there is none for the
        // others.
        Set<TrackedStep> unplaceable = new HashSet<>();
        for (TrackedTask task : ready) {
            if (starts >= MAXIMUM_STARTS_PER_ROUND) {
                return;
            }
            if (unplaceable.contains(task.step())) {
                continue;
            }
            if (task.specification().gang()) {
                starts += startGang(task.step());
                continue;
            }
            Optional<TrackedWorker> worker =
                    selectWorker(task, nowMs).or(() -> selectForStarvedJob(task));
            if (worker.isPresent()) {
                mStarter.accept(reserve(task, worker.get(), task.nextRunNumber()));
                starts++;
            } else {
                unplaceable.add(task.step());
            }
        }
    }

    // Either all members of a gang start under one run number, or none does.
    private int startGang(TrackedStep step) {
        if (!step.tasks().stream().allMatch(task -> task.isReady(mNowMs))) {
            return 0;
        }
        int number = step.tasks().stream().mapToInt(TrackedTask::nextRunNumber).max().orElse(1);
        List<TrackedRun> reserved = new ArrayList<>();
        for (TrackedTask task : step.tasks()) {
            Optional<TrackedWorker> worker = selectWorker(task, mNowMs);
            if (worker.isEmpty()) {
                reserved.forEach(TaskPlacer::cancelReservation);
                return 0;
            }
            reserved.add(reserve(task, worker.get(), number));
        }
        step.shareCheckpoint();
        reserved.forEach(mStarter);
        return reserved.size();
    }

    // Best-effort tasks wait for a worker with little interference, but not until the job starves.
    private Optional<TrackedWorker> selectForStarvedJob(TrackedTask task) {
        TrackedJob job = task.step().job();
        if (!task.specification().bestEffort() || !job.isStarved(mNowMs)) {
            return Optional.empty();
        }
        Optional<TrackedWorker> worker =
                mSelector.selectLeastInterference(task, mWorkers, pool(task), mNowMs);
        worker.ifPresent(
                chosen ->
                        mLog.record(
                                "starved_job_placed", "job", job.id(), "agent", chosen.agent()));
        return worker;
    }

    private Optional<WorkerPool> pool(TrackedTask task) {
        return mConfiguration.flatMap(
                configuration -> configuration.pool(task.step().job().queue().service()));
    }

    private static void cancelReservation(TrackedRun run) {
        run.worker().remove(run);
        run.task().onReservationCancelled();
    }

    private List<TrackedTask> ready(long unixMs) {
        List<TrackedTask> ready = new ArrayList<>();
        for (TrackedJob job : mJobs) {
            if (job.state().isFinal()) {
                continue;
            }
            if (job.hasRuns()) {
                job.markActive(mNowMs);
            }
            for (List<TrackedStep> steps : job.occurrences()) {
                for (TrackedStep step : steps) {
                    addReady(step, unixMs, ready);
                }
            }
        }
        return ready;
    }

    private void addReady(TrackedStep step, long unixMs, List<TrackedTask> ready) {
        boolean checked = false;
        for (TrackedTask task : step.tasks()) {
            if (!task.isReady(mNowMs)) {
                continue;
            }
            if (!checked && !step.job().isDue(step, unixMs)) {
                return;
            }
            checked = true;
            ready.add(task);
        }
    }

    private static TrackedRun reserve(TrackedTask task, TrackedWorker worker, int number) {
        RunId id = new RunId(task.key(), number);
        TrackedRun run =
                new TrackedRun(
                        id, task, worker, worker.incarnation().orElseThrow(), RunPhase.PERSISTING);
        worker.add(run);
        task.onRunAssigned(run);
        return run;
    }
}
