package org.hickorycleat.logic.dispatch;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import org.hickorycleat.logic.port.DecisionLog;
import org.hickorycleat.model.job.JobQueue;
import org.hickorycleat.model.job.RunId;
import org.hickorycleat.model.job.WorkerPool;
import org.hickorycleat.model.job.WorkloadConfiguration;

/** Places ready tasks on workers in rounds. */
final class TaskPlacer {
    /** Maximum number of starts in one round; the remaining tasks follow in the next. */
    private static final int MAXIMUM_STARTS_PER_ROUND = 200;

    /**
     * Number of workers for each task that is started for a starved job while no worker has idle
     * processors; in a flood, such tasks must not use the processors of the jobs that can still be
     * on time.
     */
    private static final int WORKERS_PER_STARVED_TASK = 4;

    private final WorkerSelector mSelector;
    private final RackPlacer mRackPlacer;
    private final DispatchOrder mDispatchOrder;
    private final Collection<TrackedJob> mJobs;
    private final Collection<TrackedWorker> mWorkers;
    private final Consumer<TrackedRun> mStarter;
    private final DecisionLog mLog;
    private Optional<WorkloadConfiguration> mConfiguration = Optional.empty();
    private final Set<TrackedTask> mStarvedTasks = new HashSet<>();
    private long mNowMs;

    /**
     * Creates a placer.
     *
     * @param jobs view of the jobs that are not in a final state
     * @param workers view of all workers
     * @param starter persists placed runs and then sends their starts
     */
    TaskPlacer(
            WorkerSelector selector,
            RackPlacer rackPlacer,
            DispatchOrder order,
            Collection<TrackedJob> jobs,
            Collection<TrackedWorker> workers,
            Consumer<TrackedRun> starter,
            DecisionLog log) {
        mSelector = selector;
        mRackPlacer = rackPlacer;
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
        List<ReadyStep> ready = ready(unixMs);
        mRackPlacer.beginRound(ready, mWorkers, nowMs, unixMs);
        if (ready.isEmpty()) {
            return;
        }
        mDispatchOrder.sort(ready, unixMs);
        mStarvedTasks.removeIf(task -> task.run().isEmpty());
        RoomLimits limits = RoomLimits.of(mWorkers);
        int starts = 0;
        for (ReadyStep step : ready) {
            if (starts >= MAXIMUM_STARTS_PER_ROUND) {
                return;
            }
            starts +=
                    step.step().specification().gang()
                            ? startGang(step)
                            : startTasks(step, limits, MAXIMUM_STARTS_PER_ROUND - starts);
        }
    }

    private int startTasks(ReadyStep step, RoomLimits limits, int maximumStarts) {
        int starts = 0;
        for (TrackedTask task : step.tasks()) {
            if (starts >= maximumStarts) {
                return starts;
            }
            RackPlacer.Choice choice = mRackPlacer.choose(step, task, pool(task));
            if (choice.waits()) {
                continue;
            }
            Optional<TrackedWorker> worker =
                    choice.worker()
                            .or(() -> selectWithin(limits, task))
                            .or(() -> selectForStarvedJob(limits, task));
            if (worker.isEmpty()) {
                return starts;
            }
            start(reserve(task, worker.get(), task.nextRunNumber()));
            starts++;
        }
        return starts;
    }

    private Optional<TrackedWorker> selectWithin(RoomLimits limits, TrackedTask task) {
        return limits.mayFit(task.specification()) ? selectWorker(task, mNowMs) : Optional.empty();
    }

    private void start(TrackedRun run) {
        mRackPlacer.onStarted(run);
        mStarter.accept(run);
    }

    private int startGang(ReadyStep ready) {
        TrackedStep step = ready.step();
        if (!step.tasks().stream().allMatch(task -> task.isReady(mNowMs))) {
            return 0;
        }
        Optional<WorkerPool> pool = pool(step.tasks().get(0));
        for (List<TrackedWorker> rack : mRackPlacer.gangRacks(step, pool)) {
            int starts = startGangOn(step, rack);
            if (starts > 0) {
                return starts;
            }
        }
        return mRackPlacer.gangWaits(ready, pool) ? 0 : startGangOn(step, mWorkers);
    }

    // Either all members of a gang start under one run number, or none does.
    private int startGangOn(TrackedStep step, Collection<TrackedWorker> workers) {
        int number = step.tasks().stream().mapToInt(TrackedTask::nextRunNumber).max().orElse(1);
        List<TrackedRun> reserved = new ArrayList<>();
        for (TrackedTask task : step.tasks()) {
            Optional<TrackedWorker> worker = mSelector.select(task, workers, pool(task), mNowMs);
            if (worker.isEmpty()) {
                reserved.forEach(TaskPlacer::cancelReservation);
                return 0;
            }
            reserved.add(reserve(task, worker.get(), number));
        }
        step.shareCheckpoint();
        reserved.forEach(this::start);
        return reserved.size();
    }

    // Best-effort tasks wait for a worker with little interference, but not until the job starves.
    // One run ends the starvation: if all tasks of all starved jobs shared the processors of an
    // overloaded fleet, every job would be late.
    private Optional<TrackedWorker> selectForStarvedJob(RoomLimits limits, TrackedTask task) {
        TrackedJob job = task.step().job();
        boolean overloaded = !limits.mayFit(task.specification());
        boolean mayStart = !overloaded || mStarvedTasks.size() < maximumStarvedTasks();
        if (!task.specification().bestEffort() || !job.isStarved(mNowMs) || !mayStart) {
            return Optional.empty();
        }
        Optional<TrackedWorker> worker =
                mSelector.selectLeastInterference(task, mWorkers, pool(task), mNowMs);
        if (worker.isPresent()) {
            mLog.record("starved_job_placed", "job", job.id(), "agent", worker.get().agent());
            job.markActive(mNowMs);
            mStarvedTasks.add(task);
        }
        return worker;
    }

    private int maximumStarvedTasks() {
        return Math.max(1, mWorkers.size() / WORKERS_PER_STARVED_TASK);
    }

    private Optional<WorkerPool> pool(TrackedTask task) {
        return mConfiguration.flatMap(
                configuration ->
                        task.step()
                                .job()
                                .queue()
                                .flatMap(queue -> configuration.pool(queue.service())));
    }

    private static void cancelReservation(TrackedRun run) {
        run.worker().remove(run);
        run.task().onReservationCancelled();
    }

    private List<ReadyStep> ready(long unixMs) {
        List<ReadyStep> ready = new ArrayList<>();
        for (TrackedJob job : mJobs) {
            if (job.hasRuns()) {
                job.markActive(mNowMs);
            }
            // A job whose queue is not known waits.
            job.queue().ifPresent(queue -> addReadySteps(job, queue, unixMs, ready));
        }
        return ready;
    }

    private void addReadySteps(TrackedJob job, JobQueue queue, long unixMs, List<ReadyStep> ready) {
        for (List<TrackedStep> steps : job.occurrences()) {
            for (TrackedStep step : steps) {
                addIfReady(step, queue, unixMs, ready);
            }
        }
    }

    private void addIfReady(TrackedStep step, JobQueue queue, long unixMs, List<ReadyStep> ready) {
        if (step.isDone() || !step.job().isDue(step, unixMs)) {
            return;
        }
        List<TrackedTask> tasks = new ArrayList<>();
        for (TrackedTask task : step.tasks()) {
            if (task.isReady(mNowMs)) {
                tasks.add(task);
            }
        }
        if (!tasks.isEmpty()) {
            ready.add(new ReadyStep(step, queue, tasks));
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
