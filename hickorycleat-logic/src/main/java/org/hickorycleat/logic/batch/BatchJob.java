package org.hickorycleat.logic.batch;

import org.hickorycleat.model.identifier.TaskId;

/**
 * A waiting batch task as the priority rules see it.
 *
 * @param task identity, the last tie-breaker
 * @param submittedMs time since which it has been waiting
 * @param deadlineMs time by which it must have finished
 * @param remainingMs corrected run time that remains after its checkpoint
 * @param processorsMilli thousandths of a core that it holds
 */
public record BatchJob(
        TaskId task, long submittedMs, long deadlineMs, long remainingMs, long processorsMilli) {
    /** Time allowed beyond the run time to a job without deadline, so that it does not starve. */
    static final long DEFAULT_SLACK_MS = 24 * 3_600_000L;

    /** Creates the job and gives one without deadline a distant one. */
    public BatchJob {
        remainingMs = Math.max(1, remainingMs);
        if (deadlineMs == Long.MAX_VALUE) {
            deadlineMs = submittedMs + remainingMs + DEFAULT_SLACK_MS;
        }
    }

    /** Returns the time it could wait and still finish before its deadline; negative when late. */
    public long slackMs(long nowMs) {
        return deadlineMs - nowMs - remainingMs;
    }
}
