package org.hickorycleat.logic.dispatch;

import java.util.List;
import org.hickorycleat.model.job.JobQueue;
import org.hickorycleat.model.job.StepSpecification;

/**
 * Estimates when an occurrence of a job can complete and the value of continuing it.
 *
 * @param objectiveStatus whether the objective can still be met
 * @param valuePerWork value of its completion per unit of remaining processor time
 */
record CompletionEstimate(ObjectiveStatus objectiveStatus, double valuePerWork) {
    /** Part of the value that does not depend on the size of a job. */
    private static final double FIXED_VALUE = 0.3;

    /** Maximum value of a job; 1 is the value of a job with the mean work of its queue. */
    private static final double MAXIMUM_VALUE = 4;

    /** Status of the objective of a job; tasks with an earlier constant are placed first. */
    enum ObjectiveStatus {
        /** The objective can still be met. */
        ON_TIME,
        /** The objective is missed, but completion still has part of the value. */
        LATE,
        /** Completion has no value any more; the job still runs. */
        OVERDUE
    }

    /**
     * Estimates completion time and value of one occurrence.
     *
     * @param steps the steps of one occurrence
     * @param sinceMs when the time for the objective started, in Unix milliseconds
     * @param ratio factor from estimated to actual run times
     * @param meanWork mean work of the jobs of the queue, in the unit of {@link #work}
     */
    static CompletionEstimate of(
            List<TrackedStep> steps,
            JobQueue queue,
            long sinceMs,
            double ratio,
            double meanWork,
            long unixMs) {
        double criticalPathMs = criticalPathMs(steps, false) * ratio;
        double remainingMs = criticalPathMs(steps, true) * ratio;
        double completionAfterMs = unixMs - sinceMs + remainingMs;
        double value =
                Math.min(
                        MAXIMUM_VALUE,
                        FIXED_VALUE
                                + (1 - FIXED_VALUE) * work(steps, false) / Math.max(1, meanWork));
        double valuePerWork = value / Math.max(1, work(steps, true));
        if (completionAfterMs <= queue.objectiveMs(criticalPathMs)) {
            return new CompletionEstimate(ObjectiveStatus.ON_TIME, valuePerWork);
        }
        ObjectiveStatus status =
                completionAfterMs <= queue.lateLimitMs(criticalPathMs)
                        ? ObjectiveStatus.LATE
                        : ObjectiveStatus.OVERDUE;
        return new CompletionEstimate(status, valuePerWork);
    }

    /**
     * Returns for how long an occurrence can stand still and still meet its objective, in
     * milliseconds; negative if it is expected to miss it. The parameters are those of {@link #of}.
     */
    static double slackMs(
            List<TrackedStep> steps, JobQueue queue, long sinceMs, double ratio, long unixMs) {
        return queue.objectiveMs(criticalPathMs(steps, false) * ratio)
                - (unixMs - sinceMs)
                - criticalPathMs(steps, true) * ratio;
    }

    /** Returns the estimated work of steps, in thousandths of a processor times milliseconds. */
    static double work(List<TrackedStep> steps, boolean onlyUnfinished) {
        double work = 0;
        for (TrackedStep step : steps) {
            StepSpecification specification = step.specification();
            int tasks = onlyUnfinished ? step.unfinishedTasks() : step.tasks().size();
            work +=
                    (double) tasks
                            * specification.estimateMs()
                            * specification.resources().processorsMilli();
        }
        return work;
    }

    private static double criticalPathMs(List<TrackedStep> steps, boolean onlyUnfinished) {
        double[] endMs = new double[steps.size()];
        double longest = 0;
        for (int i = 0; i < steps.size(); i++) {
            StepSpecification step = steps.get(i).specification();
            double startMs = 0;
            for (int predecessor : step.predecessors()) {
                startMs = Math.max(startMs, endMs[predecessor]);
            }
            boolean done = onlyUnfinished && steps.get(i).isDone();
            endMs[i] = startMs + (done ? 0 : step.estimateMs());
            longest = Math.max(longest, endMs[i]);
        }
        return longest;
    }
}
