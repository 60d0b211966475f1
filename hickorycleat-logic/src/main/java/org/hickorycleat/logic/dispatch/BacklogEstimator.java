package org.hickorycleat.logic.dispatch;

import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Predicate;
import org.hickorycleat.model.job.JobQueue;
import org.hickorycleat.model.job.QueueBacklog;
import org.hickorycleat.model.job.QueueName;
import org.hickorycleat.model.job.StepSpecification;

/**
 * Estimates for each queue how much work waits ahead of a new job and how fast it drains.
 *
 * <p>Load pattern: a flood of one kind of job far beyond what the workers can run. Only jobs that
 * have a ready task without a worker count, so there is no backlog while every task starts at once.
 * Best-effort tasks and those that reserve processors wait for different room. The room of an
 * evacuated availability zone does not count.
 */
final class BacklogEstimator {
    private static final int PERCENT = 100;

    private final RunTimeRatios mRunTimeRatios;
    private final Predicate<TrackedTask> mWaitsByChoice;

    /**
     * Creates an estimator.
     *
     * @param waitsByChoice whether a ready task waits for its rack although it could start
     *     elsewhere; such a task is no sign of too little room
     */
    BacklogEstimator(RunTimeRatios ratios, Predicate<TrackedTask> waitsByChoice) {
        mRunTimeRatios = ratios;
        mWaitsByChoice = waitsByChoice;
    }

    /** Work of the jobs of one queue that uses one kind of room. */
    private static final class QueueWork {
        private final JobQueue mQueue;
        private final boolean mBestEffort;
        private double mWaiting;
        private double mDrain;

        QueueWork(JobQueue queue, boolean bestEffort) {
            mQueue = queue;
            mBestEffort = bestEffort;
        }

        boolean isAheadOf(QueueWork other) {
            return mBestEffort == other.mBestEffort && mQueue.priority() <= other.mQueue.priority();
        }
    }

    /**
     * Returns the backlogs of all queues that have one. Tasks that share processors drain no faster
     * than the processors of the workers.
     */
    List<QueueBacklog> estimate(
            Collection<TrackedJob> unfinishedJobs,
            Collection<TrackedWorker> workers,
            long nowMs,
            long unixMs) {
        Map<QueueName, QueueWork> workByQueue = new LinkedHashMap<>();
        for (TrackedJob job : unfinishedJobs) {
            job.queue().ifPresent(queue -> add(job, queue, workByQueue, nowMs, unixMs));
        }
        double capacityMilli = capacityMilli(workers, nowMs);
        List<QueueBacklog> backlogs = new ArrayList<>();
        for (QueueWork queue : workByQueue.values()) {
            double waiting = 0;
            double drain = 0;
            for (QueueWork other : workByQueue.values()) {
                if (other.isAheadOf(queue)) {
                    waiting += other.mWaiting;
                    drain += other.mDrain;
                }
            }
            drain = Math.min(drain, capacityMilli / ratio(queue.mQueue));
            if (waiting > 0 && drain > 0) {
                backlogs.add(
                        new QueueBacklog(
                                queue.mQueue.name(),
                                Math.round(waiting),
                                Math.round(drain),
                                (int) Math.round(PERCENT * ratio(queue.mQueue))));
            }
        }
        return backlogs;
    }

    private static double capacityMilli(Collection<TrackedWorker> workers, long nowMs) {
        double capacity = 0;
        for (TrackedWorker worker : workers) {
            if (worker.mayTakeWork()) {
                capacity += worker.finiteCapacityMilli() * worker.warmShare(nowMs);
            }
        }
        return capacity;
    }

    private void add(
            TrackedJob job,
            JobQueue jobQueue,
            Map<QueueName, QueueWork> workByQueue,
            long nowMs,
            long unixMs) {
        boolean waits = hasWaitingTask(job, nowMs, unixMs);
        for (List<TrackedStep> steps : job.occurrences()) {
            for (TrackedStep step : steps) {
                StepSpecification specification = step.specification();
                if (specification.longRunning()) {
                    continue;
                }
                QueueWork queue =
                        workByQueue.computeIfAbsent(
                                jobQueue.name(),
                                name -> new QueueWork(jobQueue, specification.bestEffort()));
                long processorsMilli = specification.resources().processorsMilli();
                queue.mDrain +=
                        step.activeTasksOutsideEvacuation() * processorsMilli / ratio(jobQueue);
                if (waits) {
                    queue.mWaiting +=
                            (double) (step.unfinishedTasks() - step.activeTasks())
                                    * specification.estimateMs()
                                    * processorsMilli;
                }
            }
        }
    }

    private boolean hasWaitingTask(TrackedJob job, long nowMs, long unixMs) {
        for (List<TrackedStep> steps : job.occurrences()) {
            for (TrackedStep step : steps) {
                if (step.unfinishedTasks() > step.activeTasks() && job.isDue(step, unixMs)) {
                    return step.tasks().stream()
                            .anyMatch(task -> task.isReady(nowMs) && !mWaitsByChoice.test(task));
                }
            }
        }
        return false;
    }

    private double ratio(JobQueue queue) {
        return mRunTimeRatios.ratio(queue.name());
    }
}
