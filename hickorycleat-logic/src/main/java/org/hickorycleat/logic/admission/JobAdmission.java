package org.hickorycleat.logic.admission;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.hickorycleat.model.identifier.Epoch;
import org.hickorycleat.model.job.JobQueue;
import org.hickorycleat.model.job.JobSubmission;
import org.hickorycleat.model.job.QueueBacklog;
import org.hickorycleat.model.job.QueueName;
import org.hickorycleat.model.job.StepSpecification;
import org.hickorycleat.model.message.QueueBacklogs;

/**
 * Decides which jobs an entry rejects because they would wait for too long to meet their objective.
 *
 * <p>Load pattern: a flood of one kind of job far beyond what the workers can run, in which jobs
 * would otherwise wait and complete without value. The wait is that of the queue and does not
 * depend on the size of a job, so large jobs are not rejected more often than small ones. Rejected
 * callers get return times one after another, at the rate at which the backlog drains: who was
 * rejected first returns first. Unknown or outdated figures reject nothing, and neither does a wait
 * that is hardly longer than a caller's return.
 */
public final class JobAdmission {
    /** Age from which figures of the owner count as unknown, in milliseconds. */
    private static final long FIGURES_VALIDITY_MS = 2_000;

    /** Wait for which no job is rejected, in milliseconds. */
    private static final long MINIMUM_WAIT_MS = 3_000;

    /** Longest time after which a rejected caller is asked to return, in milliseconds. */
    private static final long MAXIMUM_RETRY_DELAY_MS = 60_000;

    private static final double PERCENT = 100;

    private final Map<QueueName, QueueBacklog> mBacklogs = new HashMap<>();
    private final Map<QueueName, Long> mPromisedUntilMs = new HashMap<>();
    private Epoch mEpoch = new Epoch(-1);
    private long mReceivedAtMs = Long.MIN_VALUE / 2;

    /** Handles the figures of an owner; ignores those of an earlier owner. */
    public synchronized void onBacklogs(QueueBacklogs backlogs, long nowMs) {
        if (backlogs.epoch().compareTo(mEpoch) < 0) {
            return;
        }
        mEpoch = backlogs.epoch();
        mReceivedAtMs = nowMs;
        mBacklogs.clear();
        backlogs.queues().forEach(backlog -> mBacklogs.put(backlog.queue(), backlog));
    }

    /**
     * Returns the time after which the caller of a rejected job should return, in milliseconds;
     * empty if the job is accepted.
     *
     * @param entries number of entries that accept jobs, which share the room for returning callers
     */
    public synchronized Optional<Long> rejectUntilMs(
            JobQueue queue, JobSubmission submission, int entries, long nowMs) {
        QueueBacklog backlog = mBacklogs.get(queue.name());
        boolean unknown = nowMs - mReceivedAtMs > FIGURES_VALIDITY_MS;
        if (unknown || backlog == null || backlog.drainMilli() <= 0 || isOwedAnyway(submission)) {
            return Optional.empty();
        }
        double criticalPathMs =
                submission.criticalPathMs() * backlog.runTimeRatioPercent() / PERCENT;
        double waitMs = (double) backlog.waitMs();
        double excessMs =
                Math.min(
                        waitMs - MINIMUM_WAIT_MS,
                        waitMs + criticalPathMs - queue.objectiveMs(criticalPathMs));
        return excessMs <= 0
                ? Optional.empty()
                : Optional.of(promise(backlog, submission, entries, Math.round(excessMs), nowMs));
    }

    // Long-running jobs have value whenever they start, scheduled ones at their own times.
    private static boolean isOwedAnyway(JobSubmission submission) {
        return submission.firstDueMs() != 0
                || submission.steps().stream().anyMatch(StepSpecification::longRunning);
    }

    private long promise(
            QueueBacklog backlog,
            JobSubmission submission,
            int entries,
            long excessMs,
            long nowMs) {
        long returnAtMs =
                Math.max(
                        nowMs + excessMs,
                        mPromisedUntilMs.getOrDefault(backlog.queue(), Long.MIN_VALUE));
        long spacingMs =
                Math.round(Math.max(1, entries) * submission.work() / backlog.drainMilli());
        long latestMs = nowMs + MAXIMUM_RETRY_DELAY_MS;
        mPromisedUntilMs.put(backlog.queue(), Math.min(latestMs, returnAtMs + spacingMs));
        return Math.min(MAXIMUM_RETRY_DELAY_MS, returnAtMs - nowMs);
    }
}
