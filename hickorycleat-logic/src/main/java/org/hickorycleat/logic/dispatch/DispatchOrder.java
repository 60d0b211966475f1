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
    void onJob(JobTrack job) {
        double work = JobOutlook.work(job.occurrences().get(0), false);
        mMeanWork.merge(
                job.queue().name(), work, (mean, newest) -> mean + NEWEST_WEIGHT * (newest - mean));
    }

    /** Sorts the tasks that are ready. */
    void sort(List<TaskTrack> ready, long unixMs) {
        IdentityHashMap<List<StepTrack>, JobOutlook> outlooks = new IdentityHashMap<>();
        Comparator<TaskTrack> order =
                Comparator.<TaskTrack>comparingInt(DispatchOrder::rank)
                        .thenComparing(task -> outlook(task, outlooks, unixMs).standing())
                        .thenComparingDouble(
                                task -> -outlook(task, outlooks, unixMs).worthPerWork())
                        .thenComparingLong(DispatchOrder::sinceMs);
        ready.sort(order);
    }

    private static int rank(TaskTrack task) {
        StepSpecification step = task.specification();
        if (step.perpetual()) {
            return -1;
        }
        return task.step().job().queue().priority() + (step.fills() ? FILL_RANK : 0);
    }

    private static long sinceMs(TaskTrack task) {
        JobSubmission submission = task.step().job().submission();
        return submission.dueAtMs(task.key().occurrence()).orElse(submission.acceptedAtMs());
    }

    private JobOutlook outlook(
            TaskTrack task, IdentityHashMap<List<StepTrack>, JobOutlook> outlooks, long unixMs) {
        JobTrack job = task.step().job();
        List<StepTrack> steps = job.occurrences().get(task.key().occurrence());
        return outlooks.computeIfAbsent(
                steps,
                key ->
                        JobOutlook.of(
                                key,
                                job.queue(),
                                sinceMs(task),
                                mRatios.ratio(job.queue().name()),
                                mMeanWork.getOrDefault(job.queue().name(), 0.0),
                                unixMs));
    }
}
