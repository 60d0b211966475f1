package org.hickorycleat.logic.batch;

import org.hickorycleat.model.identifier.TaskId;

/**
 * A waiting batch task with the values that the priority rules compare.
 *
 * @param task id of the task; breaks ties
 * @param submittedMs time from which it has been waiting
 * @param deadlineMs time by which it must have finished
 * @param remainingMs corrected run time that remains after its last checkpoint
 * @param processorsMilli thousandths of a core that it requests
 */
public record BatchJob(
        TaskId task, long submittedMs, long deadlineMs, long remainingMs, long processorsMilli) {
    /** Slack assigned to a job without a deadline, so that it does not starve. */
    static final long DEFAULT_SLACK_MS = 24 * 3_600_000L;

    /** Creates the job; one without a deadline gets one that leaves the default slack. */
    public BatchJob {
        remainingMs = Math.max(1, remainingMs);
        if (deadlineMs == Long.MAX_VALUE) {
            deadlineMs = submittedMs + remainingMs + DEFAULT_SLACK_MS;
        }
    }

    /** Returns how long the job can wait and still meet its deadline; negative if it is late. */
    public long slackMs(long nowMs) {
        return deadlineMs - nowMs - remainingMs;
    }
}
