package org.hickorycleat.logic.dispatch;

import java.util.List;
import org.hickorycleat.model.job.JobQueue;
import org.hickorycleat.model.job.StepSpecification;
import org.hickorycleat.model.job.TaskStatus;

/**
 * What an occurrence of a job still needs, and what it is worth to go on with it.
 *
 * @param standing whether its completion still counts
 * @param worthPerWork worth of its completion for each unit of processor time that it still needs
 */
record CompletionEstimate(Standing standing, double worthPerWork) {
    /** A job counts for a part of its worth up to this multiple of its objective. */
    private static final int LATE_FACTOR = 3;

    /** Part of the worth that does not depend on the size of a job. */
    private static final double FIXED_WORTH = 0.3;

    /** Most that a job is worth, as a multiple of the mean of its queue. */
    private static final double HIGHEST_WORTH = 4;

    /** Whether the completion of a job still counts; earlier values go first. */
    enum Standing {
        /** The objective can be met. */
        ON_TIME,
        /** Only a part of the worth can be had. */
        LATE,
        /** Nothing can be had any more; the job is still carried out. */
        OVERDUE
    }

    /**
     * Estimates the outlook.
     *
     * @param steps the steps of one occurrence
     * @param sinceMs when the time of the occurrence began to count, in Unix milliseconds
     * @param ratio factor from estimated to real run times
     * @param meanWork processor time of a mean job of the queue, in the unit of {@link #work}
     */
    static CompletionEstimate of(
            List<TrackedStep> steps,
            JobQueue queue,
            long sinceMs,
            double ratio,
            double meanWork,
            long unixMs) {
        double chainMs = longestChainMs(steps, false) * ratio;
        double restMs = longestChainMs(steps, true) * ratio;
        double objectiveMs = chainMs * queue.stretch() + queue.targetDurationMs();
        double endsAfterMs = unixMs - sinceMs + restMs;
        double worth =
                Math.min(
                        HIGHEST_WORTH,
                        FIXED_WORTH
                                + (1 - FIXED_WORTH) * work(steps, false) / Math.max(1, meanWork));
        double worthPerWork = worth / Math.max(1, work(steps, true));
        if (endsAfterMs <= objectiveMs) {
            return new CompletionEstimate(Standing.ON_TIME, worthPerWork);
        }
        Standing standing =
                endsAfterMs <= LATE_FACTOR * objectiveMs ? Standing.LATE : Standing.OVERDUE;
        return new CompletionEstimate(standing, worthPerWork);
    }

    /** Returns the estimated processor time of steps, in processor-milliseconds by thousands. */
    static double work(List<TrackedStep> steps, boolean onlyRest) {
        double work = 0;
        for (TrackedStep step : steps) {
            StepSpecification specification = step.specification();
            long tasks = onlyRest ? unfinished(step) : step.tasks().size();
            work +=
                    (double) tasks
                            * specification.estimateMs()
                            * specification.resources().processorsMilli();
        }
        return work;
    }

    private static long unfinished(TrackedStep step) {
        return step.tasks().stream().filter(task -> task.status() != TaskStatus.DONE).count();
    }

    private static double longestChainMs(List<TrackedStep> steps, boolean onlyRest) {
        double[] endsAtMs = new double[steps.size()];
        double longest = 0;
        for (int i = 0; i < steps.size(); i++) {
            StepSpecification step = steps.get(i).specification();
            double startsAtMs = 0;
            for (int earlier : step.predecessors()) {
                startsAtMs = Math.max(startsAtMs, endsAtMs[earlier]);
            }
            boolean done = onlyRest && steps.get(i).isDone();
            endsAtMs[i] = startsAtMs + (done ? 0 : step.estimateMs());
            longest = Math.max(longest, endsAtMs[i]);
        }
        return longest;
    }
}
