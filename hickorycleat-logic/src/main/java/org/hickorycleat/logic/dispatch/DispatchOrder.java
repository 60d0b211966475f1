package org.hickorycleat.logic.dispatch;

import java.util.Comparator;
import java.util.HashMap;
import java.util.IdentityHashMap;
import java.util.List;
import java.util.Map;
import org.hickorycleat.model.job.JobQueue;
import org.hickorycleat.model.job.JobSubmission;
import org.hickorycleat.model.job.QueueName;
import org.hickorycleat.model.job.StepSpecification;

/**
 * Orders steps for placement: long-running tasks first, then by queue priority, then by whether the
 * job can still meet its objective, then those that wait for their rack, then by value per
 * remaining processor time, then by age.
 *
 * <p>A task waits because a place in its rack is expected in time; jobs that come later must not
 * take it.
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
                job.submission().queue(),
                work,
                (mean, newest) -> mean + NEWEST_JOB_WEIGHT * (newest - mean));
    }

    /** Sorts ready steps into the order of placement. */
    void sort(List<ReadyStep> ready, long unixMs) {
        IdentityHashMap<List<TrackedStep>, CompletionEstimate> estimates = new IdentityHashMap<>();
        Comparator<ReadyStep> order =
                Comparator.<ReadyStep>comparingInt(DispatchOrder::rank)
                        .thenComparing(
                                entry -> estimate(entry, estimates, unixMs).objectiveStatus())
                        .thenComparingDouble(
                                entry -> -estimate(entry, estimates, unixMs).valuePerWork())
                        .thenComparingLong(entry -> waitingSinceMs(entry.step()));
        ready.sort(order);
    }

    private static int rank(ReadyStep entry) {
        StepSpecification specification = entry.step().specification();
        if (specification.longRunning()) {
            return -1;
        }
        return entry.queue().priority() + (specification.bestEffort() ? BEST_EFFORT_RANK : 0);
    }

    /** Returns when the time for the objective of an occurrence started, in Unix milliseconds. */
    static long waitingSinceMs(TrackedStep step) {
        JobSubmission submission = step.job().submission();
        return submission.dueAtMs(step.occurrence()).orElse(submission.acceptedAtMs());
    }

    private CompletionEstimate estimate(
            ReadyStep entry,
            IdentityHashMap<List<TrackedStep>, CompletionEstimate> estimates,
            long unixMs) {
        TrackedStep step = entry.step();
        JobQueue queue = entry.queue();
        List<TrackedStep> steps = step.job().occurrences().get(step.occurrence());
        return estimates.computeIfAbsent(
                steps,
                key ->
                        CompletionEstimate.of(
                                key,
                                queue,
                                waitingSinceMs(step),
                                mRunTimeRatios.ratio(queue.name()),
                                mMeanWorkByQueue.getOrDefault(queue.name(), 0.0),
                                unixMs));
    }
}
