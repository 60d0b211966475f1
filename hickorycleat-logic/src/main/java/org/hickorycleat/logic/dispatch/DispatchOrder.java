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
 * Order in which tasks are placed: tasks that last, then by priority, then jobs that can still meet
 * their objective, then what is worth most for the processor time that it still needs.
 */
final class DispatchOrder {
    /** Places work that only fills behind all other work. */
    private static final int FILL_RANK = 1_000;

    /** Weight of the newest job in the mean work of its queue. */
    private static final double NEWEST_WEIGHT = 0.1;

    private final RunTimeRatios mRatios;
    private final Map<QueueName, Double> mMeanWork = new HashMap<>();

    DispatchOrder(RunTimeRatios ratios) {
        mRatios = ratios;
    }

    /** Learns the size of the jobs of a queue. */
    void onJob(TrackedJob job) {
        double work = CompletionEstimate.work(job.occurrences().get(0), false);
        mMeanWork.merge(
                job.queue().name(), work, (mean, newest) -> mean + NEWEST_WEIGHT * (newest - mean));
    }

    /** Sorts the tasks that are ready. */
    void sort(List<TrackedTask> ready, long unixMs) {
        IdentityHashMap<List<TrackedStep>, CompletionEstimate> outlooks = new IdentityHashMap<>();
        Comparator<TrackedTask> order =
                Comparator.<TrackedTask>comparingInt(DispatchOrder::rank)
                        .thenComparing(task -> outlook(task, outlooks, unixMs).standing())
                        .thenComparingDouble(
                                task -> -outlook(task, outlooks, unixMs).worthPerWork())
                        .thenComparingLong(DispatchOrder::sinceMs);
        ready.sort(order);
    }

    private static int rank(TrackedTask task) {
        StepSpecification step = task.specification();
        if (step.perpetual()) {
            return -1;
        }
        return task.step().job().queue().priority() + (step.bestEffort() ? FILL_RANK : 0);
    }

    private static long sinceMs(TrackedTask task) {
        JobSubmission submission = task.step().job().submission();
        return submission.dueAtMs(task.key().occurrence()).orElse(submission.acceptedAtMs());
    }

    private CompletionEstimate outlook(
            TrackedTask task,
            IdentityHashMap<List<TrackedStep>, CompletionEstimate> outlooks,
            long unixMs) {
        TrackedJob job = task.step().job();
        List<TrackedStep> steps = job.occurrences().get(task.key().occurrence());
        return outlooks.computeIfAbsent(
                steps,
                key ->
                        CompletionEstimate.of(
                                key,
                                job.queue(),
                                sinceMs(task),
                                mRatios.ratio(job.queue().name()),
                                mMeanWork.getOrDefault(job.queue().name(), 0.0),
                                unixMs));
    }
}
