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

/** Places the tasks that are ready on workers, in rounds. */
final class TaskPlacer {
    /** Most starts of one round; the rest follows in the next. */
    private static final int MAXIMUM_STARTS = 200;

    private final WorkerChooser mChooser;
    private final DispatchOrder mOrder;
    private final Collection<JobTrack> mJobs;
    private final Collection<WorkerTrack> mWorkers;
    private final Consumer<RunTrack> mStarter;
    private final DecisionLog mLog;
    private Optional<WorkloadConfiguration> mConfiguration = Optional.empty();
    private long mNowMs;

    /**
     * Creates a placer.
     *
     * @param jobs view of all jobs
     * @param workers view of all workers
     * @param starter makes placed runs durable and orders them
     */
    TaskPlacer(
            WorkerChooser chooser,
            DispatchOrder order,
            Collection<JobTrack> jobs,
            Collection<WorkerTrack> workers,
            Consumer<RunTrack> starter,
            DecisionLog log) {
        mChooser = chooser;
        mOrder = order;
        mJobs = jobs;
        mWorkers = workers;
        mStarter = starter;
        mLog = log;
    }

    void onConfiguration(WorkloadConfiguration configuration) {
        mConfiguration = Optional.of(configuration);
    }

    /** Returns the best worker for a task; empty when none can take it now. */
    Optional<WorkerTrack> choose(TaskTrack task, long nowMs) {
        return mChooser.choose(task, mWorkers, pool(task), nowMs);
    }

    /** Places what can be placed now. */
    void place(long nowMs, long unixMs) {
        mNowMs = nowMs;
        List<TaskTrack> ready = ready(unixMs);
        mOrder.sort(ready, unixMs);
        int starts = 0;
        // The tasks of a step are alike: where one finds no worker, none of the others does.
        Set<StepTrack> unplaceable = new HashSet<>();
        for (TaskTrack task : ready) {
            if (starts >= MAXIMUM_STARTS) {
                return;
            }
            if (unplaceable.contains(task.step())) {
                continue;
            }
            if (task.specification().gang()) {
                starts += startGang(task.step());
                continue;
            }
            Optional<WorkerTrack> worker = choose(task, nowMs).or(() -> chooseForStarved(task));
            if (worker.isPresent()) {
                mStarter.accept(reserve(task, worker.get(), task.nextRunNumber()));
                starts++;
            } else {
                unplaceable.add(task.step());
            }
        }
    }

    // All members of a gang start under one run number, or none does.
    private int startGang(StepTrack step) {
        if (!step.tasks().stream().allMatch(task -> task.isReady(mNowMs))) {
            return 0;
        }
        int number = step.tasks().stream().mapToInt(TaskTrack::nextRunNumber).max().orElse(1);
        List<RunTrack> reserved = new ArrayList<>();
        for (TaskTrack task : step.tasks()) {
            Optional<WorkerTrack> worker = choose(task, mNowMs);
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

    // Work that fills waits for a quiet place, but a job does not stand still for that.
    private Optional<WorkerTrack> chooseForStarved(TaskTrack task) {
        JobTrack job = task.step().job();
        if (!task.specification().fills() || !job.isStarved(mNowMs)) {
            return Optional.empty();
        }
        Optional<WorkerTrack> worker =
                mChooser.chooseLeastDisturbed(task, mWorkers, pool(task), mNowMs);
        worker.ifPresent(
                chosen ->
                        mLog.record(
                                "starved_job_placed", "job", job.id(), "agent", chosen.agent()));
        return worker;
    }

    private Optional<WorkerPool> pool(TaskTrack task) {
        return mConfiguration.flatMap(
                configuration -> configuration.pool(task.step().job().queue().service()));
    }

    private static void cancelReservation(RunTrack run) {
        run.worker().remove(run);
        run.task().onRunDropped();
    }

    private List<TaskTrack> ready(long unixMs) {
        List<TaskTrack> ready = new ArrayList<>();
        for (JobTrack job : mJobs) {
            if (job.state().isFinal()) {
                continue;
            }
            if (job.hasRuns()) {
                job.onActive(mNowMs);
            }
            for (List<StepTrack> steps : job.occurrences()) {
                for (StepTrack step : steps) {
                    addReady(step, unixMs, ready);
                }
            }
        }
        return ready;
    }

    private void addReady(StepTrack step, long unixMs, List<TaskTrack> ready) {
        boolean checked = false;
        for (TaskTrack task : step.tasks()) {
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

    private static RunTrack reserve(TaskTrack task, WorkerTrack worker, int number) {
        RunId id = new RunId(task.key(), number);
        RunTrack run =
                new RunTrack(id, task, worker, worker.life().orElseThrow(), RunPhase.PERSISTING);
        worker.add(run);
        task.onRun(run);
        return run;
    }
}
