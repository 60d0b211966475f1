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

    /**
     * Deadline risk weighed against size: the least processor time first, later by a factor for
     * each unit of slack over run time, so that with little slack anywhere the small jobs go first
     * and most are on time, and with much slack the order is that of deadline risk.
     */
    public static final PriorityRule DEADLINE_RISK_AND_SIZE =
            (job, nowMs) ->
                    Math.log((double) job.remainingMs() * Math.max(1, job.processorsMilli()))
                            + Math.max(0, DEADLINE_RISK.key(job, nowMs));

    /** Apparent tardiness cost with the run time that the measurement supports. */
    public static final PriorityRule APPARENT_TARDINESS_COST = apparentTardinessCost(1_800_000);

    private PriorityRules() {}

    /**
     * Returns a rule like {@link #DEADLINE_RISK_AND_SIZE} with slack over one run time for all
     * jobs.
     */
    public static PriorityRule apparentTardinessCost(long slackUnitMs) {
        return (job, nowMs) ->
                Math.log((double) job.remainingMs() * Math.max(1, job.processorsMilli()))
                        + (double) Math.max(0, job.slackMs(nowMs)) / slackUnitMs;
    }
}
