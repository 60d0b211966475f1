package org.hickorycleat.logic.batch;

/** The priority rules that were measured against each other. */
public final class PriorityRules {
    /** Above every slack ratio of a job that can still be on time. */
    private static final double LATE = 1e12;

    /** First come, first served. */
    public static final PriorityRule FIRST_COME_FIRST_SERVED = (job, nowMs) -> job.submittedMs();

    /** Earliest deadline first. */
    public static final PriorityRule EARLIEST_DEADLINE_FIRST = (job, nowMs) -> job.deadlineMs();

    /** Shortest job first. */
    public static final PriorityRule SHORTEST_JOB_FIRST = (job, nowMs) -> job.remainingMs();

    /** Minimum time to due date: the least slack first. */
    public static final PriorityRule MINIMUM_TIME_TO_DUE_DATE = BatchJob::slackMs;

    /** Deadline risk: the least slack over run time first. */
    public static final PriorityRule DEADLINE_RISK =
            (job, nowMs) -> (double) job.slackMs(nowMs) / job.remainingMs();

    /**
     * Deadline risk with late jobs behind all others, shortest first. A late job cannot become on
     * time, so it must not make others late.
     */
    public static final PriorityRule DEADLINE_RISK_LATE_LAST =
            (job, nowMs) ->
                    job.slackMs(nowMs) < 0
                            ? LATE + job.remainingMs()
                            : DEADLINE_RISK.key(job, nowMs);

    private PriorityRules() {}
}
