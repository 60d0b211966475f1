package org.hickorycleat.logic.dispatch;

import java.util.Collection;
import java.util.Optional;
import java.util.function.Predicate;
import java.util.function.ToDoubleFunction;
import org.hickorycleat.logic.places.RackDemand;
import org.hickorycleat.model.job.StepSpecification;
import org.hickorycleat.model.job.WorkerPool;
import org.jspecify.annotations.Nullable;

/** Selects the worker for a task. */
final class WorkerSelector {
    /** Time without a report after which no task is placed on a worker, in milliseconds. */
    private static final long REPORT_TIMEOUT_MS = 1_500;

    /** Share of the requested processors of a best-effort task that must be idle on the worker. */
    private static final double BEST_EFFORT_IDLE_SHARE = 0.7;

    /** Maximum expected load of a latency-critical task when a best-effort task is added. */
    private static final double MAXIMUM_EXPECTED_LOAD = 0.8;

    /**
     * Score for a worker in the rack with the data of the task, and deducted for one in a rack that
     * other tasks want, in thousandths of a processor.
     */
    private static final long RACK_WEIGHT = 1_000_000;

    /**
     * Score deducted for a worker that is suspect or on which the task has failed, in thousandths
     * of a processor.
     */
    private static final long SUSPECT_WEIGHT = 100_000_000;

    /**
     * Score added for each latency-critical task of the same image on the worker and deducted for
     * each of another image, in thousandths of a processor.
     */
    private static final long IMAGE_WEIGHT = 50_000;

    /**
     * Score deducted per unit of load added to latency-critical tasks, in capacities of the worker.
     */
    private static final double ADDED_LOAD_WEIGHT = 4;

    /**
     * Score deducted for each task of the same step on the worker, in thousandths of a processor.
     */
    private static final long SPREAD_WEIGHT = 500;

    private final InterferenceEstimator mInterferenceEstimator;
    private final RackDemand mRackDemand;

    WorkerSelector(InterferenceEstimator interferenceEstimator, RackDemand rackDemand) {
        mInterferenceEstimator = interferenceEstimator;
        mRackDemand = rackDemand;
    }

    /** Returns the best worker for a task, or empty if none is eligible now. */
    Optional<TrackedWorker> select(
            TrackedTask task,
            Collection<TrackedWorker> workers,
            Optional<WorkerPool> pool,
            long nowMs) {
        StepSpecification step = task.specification();
        return best(
                workers,
                worker ->
                        isEligible(task, worker, pool, nowMs)
                                && (!step.bestEffort() || canAddBestEffort(step, worker)),
                worker -> score(task, worker, nowMs));
    }

    /**
     * Returns the worker with the lowest expected load of latency-critical tasks after adding a
     * best-effort task, without a bound on that load; empty if none is eligible.
     */
    Optional<TrackedWorker> selectLeastInterference(
            TrackedTask task,
            Collection<TrackedWorker> workers,
            Optional<WorkerPool> pool,
            long nowMs) {
        return best(
                workers,
                worker -> isEligible(task, worker, pool, nowMs),
                worker -> -mInterferenceEstimator.expectedLoad(worker, task.specification()));
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
        if (pool.isEmpty() || !mayTakeWork(step, worker, pool.get(), nowMs)) {
            return false;
        }
        if (!worker.hasFreeResources(step.reservation()) || !worker.isWarmEnoughFor(step, nowMs)) {
            return false;
        }
        return step.maximumPerWorker() == 0
                || task.step().activeTasksOn(worker) < step.maximumPerWorker();
    }

    /** Returns whether a worker may start tasks of a step now, apart from its free resources. */
    boolean mayTakeWork(StepSpecification step, TrackedWorker worker, WorkerPool pool, long nowMs) {
        if (!worker.mayTakeWork() || isReportOverdue(worker, nowMs)) {
            return false;
        }
        if (!worker.description().orElseThrow().service().equals(pool.service())) {
            return false;
        }
        if (step.requiredLabel().isPresent() && !worker.hasLabel(step.requiredLabel().get())) {
            return false;
        }
        return worker.health().mayStart(nowMs, worker.finiteRuns());
    }

    private static boolean isReportOverdue(TrackedWorker worker, long nowMs) {
        return nowMs - worker.reportedAtMs() > REPORT_TIMEOUT_MS;
    }

    /** Returns whether a worker with the given idle processors may get a best-effort task. */
    static boolean hasIdleProcessors(StepSpecification step, long idleProcessorsMilli) {
        return idleProcessorsMilli >= step.resources().processorsMilli() * BEST_EFFORT_IDLE_SHARE;
    }

    private boolean canAddBestEffort(StepSpecification step, TrackedWorker worker) {
        return hasIdleProcessors(step, worker.idleProcessorsMilli())
                && mInterferenceEstimator.expectedLoad(worker, step) <= MAXIMUM_EXPECTED_LOAD;
    }

    // A best-effort task consumes both idle processors and load headroom of latency-critical tasks.
    private long bestEffortScore(TrackedWorker worker, StepSpecification step) {
        double addedLoad = mInterferenceEstimator.addedLoad(worker, step);
        return worker.idleProcessorsMilli()
                - (long) (ADDED_LOAD_WEIGHT * addedLoad * worker.capacity().processorsMilli());
    }

    // A rack that was wanted within the duration of the task is likely to be wanted while it runs.
    private boolean isWantedByOthers(StepSpecification step, TrackedWorker worker, long nowMs) {
        return !step.bestEffort()
                && !step.longRunning()
                && mRackDemand.wasWantedSince(worker.labels(), nowMs - step.estimateMs());
    }

    private long score(TrackedTask task, TrackedWorker worker, long nowMs) {
        StepSpecification step = task.specification();
        long score =
                step.bestEffort() ? bestEffortScore(worker, step) : worker.freeProcessorsMilli();
        if (step.preferredRack().isPresent() && worker.hasLabel(step.preferredRack().get())) {
            score += RACK_WEIGHT;
        } else if (isWantedByOthers(step, worker, nowMs)) {
            score -= RACK_WEIGHT;
        }
        if (worker.health().isSuspect(nowMs) || task.hasFailedOn(worker.agent())) {
            score -= SUSPECT_WEIGHT;
        }
        // Each latency-critical image is affected by different best-effort images. Workers whose
        // latency-critical tasks share one image leave a suitable worker for every best-effort
        // image.
        if (step.targetLatencyMs() > 0) {
            score += IMAGE_WEIGHT * worker.imageBalance(step.image());
        }
        return score - SPREAD_WEIGHT * task.step().activeTasksOn(worker);
    }
}
