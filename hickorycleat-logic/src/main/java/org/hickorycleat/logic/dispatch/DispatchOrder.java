package org.hickorycleat.logic.dispatch;

import java.util.Comparator;
import java.util.HashMap;
import java.util.IdentityHashMap;
import java.util.List;
import java.util.Map;
import org.hickorycleat.model.job.JobSubmission;
import org.hickorycleat.model.job.QueueName;
import org.hickorycleat.model.job.StepSpecification;

/**
 * Orders tasks for placement: long-running tasks first, then by queue priority, then by whether the
 * job can still meet its objective, then by value per remaining processor time, then by age.
 */
final class DispatchOrder {
    /** Added to the priority of best-effort tasks; ranks them behind all other work. */
    private static final int BEST_EFFORT_RANK = 1_000;

    /** Weight of the newest job in the moving average of the work of its queue. */
    private static final double NEWEST_JOB_WEIGHT = 0.1;

    private final RunTimeRatios mRunTimeRatios;
    private final Map<QueueName, Double> mMeanWorkByQueue = new HashMap<>();

    DispatchOrder(RunTimeRatios ratios) {
        mRunTimeRatios = ratios;
    }

    /** Updates the mean work of the jobs of a queue. */
    void recordJob(TrackedJob job) {
        double work = CompletionEstimate.work(job.occurrences().get(0), false);
        mMeanWorkByQueue.merge(
                job.queue().name(),
                work,
                (mean, newest) -> mean + NEWEST_JOB_WEIGHT * (newest - mean));
    }

    /** Sorts ready tasks into the order of placement. */
    void sort(List<TrackedTask> ready, long unixMs) {
        IdentityHashMap<List<TrackedStep>, CompletionEstimate> estimates = new IdentityHashMap<>();
        Comparator<TrackedTask> order =
                Comparator.<TrackedTask>comparingInt(DispatchOrder::rank)
                        .thenComparing(task -> estimate(task, estimates, unixMs).objectiveStatus())
                        .thenComparingDouble(
                                task -> -estimate(task, estimates, unixMs).valuePerWork())
                        .thenComparingLong(DispatchOrder::waitingSinceMs);
        ready.sort(order);
    }

    private static int rank(TrackedTask task) {
        StepSpecification step = task.specification();
        if (step.longRunning()) {
            return -1;
        }
        return task.step().job().queue().priority() + (step.bestEffort() ? BEST_EFFORT_RANK : 0);
    }

    private static long waitingSinceMs(TrackedTask task) {
        JobSubmission submission = task.step().job().submission();
        return submission.dueAtMs(task.key().occurrence()).orElse(submission.acceptedAtMs());
    }

    private CompletionEstimate estimate(
            TrackedTask task,
            IdentityHashMap<List<TrackedStep>, CompletionEstimate> estimates,
            long unixMs) {
        TrackedJob job = task.step().job();
        List<TrackedStep> steps = job.occurrences().get(task.key().occurrence());
        return estimates.computeIfAbsent(
                steps,
                key ->
                        CompletionEstimate.of(
                                key,
                                job.queue(),
                                waitingSinceMs(task),
                                mRunTimeRatios.ratio(job.queue().name()),
                                mMeanWorkByQueue.getOrDefault(job.queue().name(), 0.0),
                                unixMs));
    }
}
