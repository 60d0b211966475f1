package org.hickorycleat.logic.batch;

/** The available priority rules. */
public final class PriorityRules {
    /** Exceeds the slack ratio of every job that can still meet its deadline. */
    private static final double LATE_JOB_KEY_OFFSET = 1e12;

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
     * Deadline risk with late jobs after all others, shortest first. A late job cannot meet its
     * deadline any more, so it must not make others late.
     */
    public static final PriorityRule DEADLINE_RISK_LATE_LAST =
            (job, nowMs) ->
                    job.slackMs(nowMs) < 0
                            ? LATE_JOB_KEY_OFFSET + job.remainingMs()
                            : DEADLINE_RISK.key(job, nowMs);

    /**
     * Deadline risk weighed against size. The key is the logarithm of the processor time plus the
     * ratio of slack to run time. If slack is short everywhere, small jobs go first and most jobs
     * are on time; if slack is ample, the order is that of deadline risk.
     */
    public static final PriorityRule DEADLINE_RISK_AND_SIZE =
            (job, nowMs) ->
                    Math.log((double) job.remainingMs() * Math.max(1, job.processorsMilli()))
                            + Math.max(0, DEADLINE_RISK.key(job, nowMs));

    /** Apparent tardiness cost with a slack unit of 30 min. */
    public static final PriorityRule APPARENT_TARDINESS_COST = apparentTardinessCost(1_800_000);

    private PriorityRules() {}

    /**
     * Returns a rule like {@link #DEADLINE_RISK_AND_SIZE} that divides the slack of every job by
     * the same unit instead of by its run time.
     */
    public static PriorityRule apparentTardinessCost(long slackUnitMs) {
        return (job, nowMs) ->
                Math.log((double) job.remainingMs() * Math.max(1, job.processorsMilli()))
                        + (double) Math.max(0, job.slackMs(nowMs)) / slackUnitMs;
    }
}
