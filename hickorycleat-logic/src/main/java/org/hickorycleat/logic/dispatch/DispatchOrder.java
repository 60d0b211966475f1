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
 * Orders steps for placement: long-running tasks first, then by queue priority, then by whether the
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

    /** Sorts ready steps into the order of placement. */
    void sort(List<ReadyStep> ready, long unixMs) {
        IdentityHashMap<List<TrackedStep>, CompletionEstimate> estimates = new IdentityHashMap<>();
        Comparator<ReadyStep> order =
                Comparator.<ReadyStep>comparingInt(entry -> rank(entry.step()))
                        .thenComparing(
                                entry ->
                                        estimate(entry.step(), estimates, unixMs).objectiveStatus())
                        .thenComparingDouble(
                                entry -> -estimate(entry.step(), estimates, unixMs).valuePerWork())
                        .thenComparingLong(entry -> waitingSinceMs(entry.step()));
        ready.sort(order);
    }

    private static int rank(TrackedStep step) {
        StepSpecification specification = step.specification();
        if (specification.longRunning()) {
            return -1;
        }
        return step.job().queue().priority() + (specification.bestEffort() ? BEST_EFFORT_RANK : 0);
    }

    private static long waitingSinceMs(TrackedStep step) {
        JobSubmission submission = step.job().submission();
        return submission.dueAtMs(step.occurrence()).orElse(submission.acceptedAtMs());
    }

    private CompletionEstimate estimate(
            TrackedStep step,
            IdentityHashMap<List<TrackedStep>, CompletionEstimate> estimates,
            long unixMs) {
        TrackedJob job = step.job();
        List<TrackedStep> steps = job.occurrences().get(step.occurrence());
        return estimates.computeIfAbsent(
                steps,
                key ->
                        CompletionEstimate.of(
                                key,
                                job.queue(),
                                waitingSinceMs(step),
                                mRunTimeRatios.ratio(job.queue().name()),
                                mMeanWorkByQueue.getOrDefault(job.queue().name(), 0.0),
                                unixMs));
    }
}
