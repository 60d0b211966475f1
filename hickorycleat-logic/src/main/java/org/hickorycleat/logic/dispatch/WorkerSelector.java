package org.hickorycleat.logic.dispatch;

import java.util.Collection;
import java.util.Optional;
import java.util.function.Predicate;
import java.util.function.ToDoubleFunction;
import org.hickorycleat.model.job.StepSpecification;
import org.hickorycleat.model.job.WorkerPool;
import org.jspecify.annotations.Nullable;

/** Chooses the worker of a task. */
final class WorkerSelector {
    /** A worker without a report for this long takes nothing new, in milliseconds. */
    private static final long SILENCE_LIMIT_MS = 1_500;

    /** Share of the request of a task that fills that must be idle on its worker. */
    private static final double FILL_SHARE = 0.7;

    /** Highest expected load of a serving task at which a task that fills is added. */
    private static final double HIGHEST_LOAD = 0.8;

    /** Weight of a rack with the data of the task, in thousandths of a processor. */
    private static final long RACK_WEIGHT = 1_000_000;

    /** Weight against a worker that has just failed a task, in thousandths of a processor. */
    private static final long SUSPECT_WEIGHT = 100_000_000;

    /** Weight of each serving task of the same or another image, in thousandths of a processor. */
    private static final long IMAGE_WEIGHT = 50_000;

    /** Weight of a load that is added to serving tasks, in capacities of the worker. */
    private static final double ADDED_LOAD_WEIGHT = 4;

    /** Weight against a further task of the step on a worker, in thousandths of a processor. */
    private static final long SPREAD_WEIGHT = 500;

    private final InterferenceEstimates mInterference;

    WorkerSelector(InterferenceEstimates interference) {
        mInterference = interference;
    }

    /** Returns the best worker for a task; empty when none can take it now. */
    Optional<TrackedWorker> choose(
            TrackedTask task,
            Collection<TrackedWorker> workers,
            Optional<WorkerPool> pool,
            long nowMs) {
        StepSpecification step = task.specification();
        return best(
                workers,
                worker ->
                        isEligible(task, worker, pool, nowMs)
                                && (!step.bestEffort() || hasIdleProcessors(step, worker)),
                worker -> score(task, worker, nowMs));
    }

    /**
     * Returns the worker whose serving tasks a task that fills disturbs least, whatever they
     * expect; empty when none has room.
     */
    Optional<TrackedWorker> chooseLeastDisturbed(
            TrackedTask task,
            Collection<TrackedWorker> workers,
            Optional<WorkerPool> pool,
            long nowMs) {
        return best(
                workers,
                worker -> isEligible(task, worker, pool, nowMs),
                worker -> -mInterference.expectedLoad(worker, task.specification()));
    }

    private static Optional<TrackedWorker> best(
            Collection<TrackedWorker> workers,
            Predicate<TrackedWorker> eligible,
            ToDoubleFunction<TrackedWorker> scores) {
        @Nullable TrackedWorker best = null;
        double bestScore = Double.NEGATIVE_INFINITY;
        for (TrackedWorker worker : workers) {
            if (!eligible.test(worker)) {
                continue;
            }
            double score = scores.applyAsDouble(worker);
            if (score > bestScore) {
                best = worker;
                bestScore = score;
            }
        }
        return Optional.ofNullable(best);
    }

    private boolean isEligible(
            TrackedTask task, TrackedWorker worker, Optional<WorkerPool> pool, long nowMs) {
        StepSpecification step = task.specification();
        if (!worker.isAvailable() || pool.isEmpty() || isSilent(worker, nowMs)) {
            return false;
        }
        if (!worker.description().orElseThrow().service().equals(pool.get().service())) {
            return false;
        }
        if (step.requiredLabel().isPresent() && !worker.hasLabel(step.requiredLabel().get())) {
            return false;
        }
        if (!worker.hasRoomFor(step.reservation())) {
            return false;
        }
        if (step.maximumPerWorker() > 0
                && task.step().activeOn(worker) >= step.maximumPerWorker()) {
            return false;
        }
        return worker.health().mayStart(nowMs, startedRuns(worker));
    }

    private static boolean isSilent(TrackedWorker worker, long nowMs) {
        return nowMs - worker.reportedAtMs() > SILENCE_LIMIT_MS;
    }

    private static int startedRuns(TrackedWorker worker) {
        int started = 0;
        for (TrackedRun run : worker.runs()) {
            if (!run.task().specification().perpetual()) {
                started++;
            }
        }
        return started;
    }

    private boolean hasIdleProcessors(StepSpecification step, TrackedWorker worker) {
        return worker.idleProcessorsMilli() >= step.resources().processorsMilli() * FILL_SHARE
                && mInterference.expectedLoad(worker, step) <= HIGHEST_LOAD;
    }

    // Each image that serves is disturbed by other images that fill: workers whose serving tasks
    // are of one image leave a place for every image that fills.
    private static int imageBalance(TrackedWorker worker, String image) {
        int balance = 0;
        for (TrackedRun run : worker.runs()) {
            StepSpecification other = run.task().specification();
            if (other.targetLatencyMs() > 0) {
                balance += other.image().equals(image) ? 1 : -1;
            }
        }
        return balance;
    }

    // Room for a task is lost both with processors and with load of the serving tasks.
    private long fillScore(TrackedWorker worker, StepSpecification step) {
        double added = mInterference.addedLoad(worker, step);
        return worker.idleProcessorsMilli()
                - (long) (ADDED_LOAD_WEIGHT * added * worker.capacity().processorsMilli());
    }

    private long score(TrackedTask task, TrackedWorker worker, long nowMs) {
        StepSpecification step = task.specification();
        long score = step.bestEffort() ? fillScore(worker, step) : worker.freeProcessorsMilli();
        if (step.preferredRack().isPresent() && worker.hasLabel(step.preferredRack().get())) {
            score += RACK_WEIGHT;
        }
        if (worker.health().isSuspect(nowMs) || task.hasFailedOn(worker.agent())) {
            score -= SUSPECT_WEIGHT;
        }
        if (step.targetLatencyMs() > 0) {
            score += IMAGE_WEIGHT * imageBalance(worker, step.image());
        }
        return score - SPREAD_WEIGHT * task.step().activeOn(worker);
    }
}
