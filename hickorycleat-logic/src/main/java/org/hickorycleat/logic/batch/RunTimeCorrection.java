package org.hickorycleat.logic.batch;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.hickorycleat.model.identifier.JobName;
import org.hickorycleat.model.identifier.TeamName;
import org.hickorycleat.model.task.Resources;
import org.hickorycleat.model.task.TaskSpecification;

/**
 * Learns by which factor declared run times and sizes are off, per job and, for jobs not seen
 * before, per team. Few samples count little: the ratio is shrunk towards that of the team, and
 * that of the team towards 1. Not safe for use by several threads.
 */
public final class RunTimeCorrection implements RunTimeEstimator {
    /** Runs of a job after which its own ratio counts as much as that of its team. */
    private static final double JOB_SHRINKAGE = 1;

    /** Runs of a team after which its ratio counts as much as the declared value. */
    private static final double TEAM_SHRINKAGE = 4;

    private static final double UPPER_QUANTILE = 0.9;

    /** Declared values are off by up to 10 times; the margin is for faulty clocks. */
    private static final double MAXIMUM_RATIO = 20;

    /** Jobs that are remembered; bounds the memory of an owner. */
    private static final int MAXIMUM_JOBS = 20_000;

    private final JobNaming mNaming;
    private final Map<JobKey, LearnedRatios> mJobs = new HashMap<>();
    private final Map<TeamName, LearnedRatios> mTeams = new HashMap<>();

    /** Creates a correction that has learned nothing. */
    public RunTimeCorrection(JobNaming naming) {
        mNaming = naming;
    }

    private record JobKey(JobName job, TeamName team) {}

    /**
     * What was learned about a job, for the snapshot of a shard.
     *
     * @param job name of the job
     * @param team its team
     * @param runTimes ratios of run time to declared run time, oldest first
     * @param processors ratios of used to declared processors
     * @param memory ratios of used to declared memory
     */
    public record LearnedJob(
            JobName job,
            TeamName team,
            List<Double> runTimes,
            List<Double> processors,
            List<Double> memory) {
        /** Copies the lists. */
        public LearnedJob {
            runTimes = List.copyOf(runTimes);
            processors = List.copyOf(processors);
            memory = List.copyOf(memory);
        }
    }

    /** Learns from a run that ended well; {@code runMs} is its whole run time. */
    public void recordRun(TaskSpecification task, long runMs) {
        if (task.service().isPresent() || task.estimatedMs() <= 0) {
            return;
        }
        double ratio = bounded(runMs / (double) task.estimatedMs());
        job(task).runTimes().add(ratio);
        team(task.team()).runTimes().add(ratio);
    }

    /** Learns from a measurement of what a task uses. */
    public void recordUsage(TaskSpecification task, Resources used) {
        Resources declared = task.resources();
        if (declared.processorsMilli() > 0) {
            job(task).processors().add(ratio(used.processorsMilli(), declared.processorsMilli()));
        }
        if (declared.memoryMebibytes() > 0) {
            job(task).memory().add(ratio(used.memoryMebibytes(), declared.memoryMebibytes()));
        }
    }

    @Override
    public long expectedMs(TaskSpecification task) {
        return Math.max(1, Math.round(task.estimatedMs() * ratio(task, 0.5)));
    }

    @Override
    public long upperMs(TaskSpecification task) {
        double ratio = Math.max(ratio(task, UPPER_QUANTILE), ratio(task, 0.5));
        return Math.max(1, Math.round(task.estimatedMs() * ratio));
    }

    /**
     * {@inheritDoc}
     *
     * <p>A task that uses less keeps what it declared, since the worker reserves that much.
     */
    @Override
    public Resources size(TaskSpecification task) {
        LearnedRatios learned = mJobs.get(key(task));
        if (learned == null) {
            return task.resources();
        }
        Resources declared = task.resources();
        return new Resources(
                grown(declared.processorsMilli(), learned.processors()),
                grown(declared.memoryMebibytes(), learned.memory()),
                declared.accelerators());
    }

    /** Returns what was learned about jobs. */
    public List<LearnedJob> snapshot() {
        List<LearnedJob> jobs = new ArrayList<>();
        mJobs.forEach(
                (key, ratios) ->
                        jobs.add(
                                new LearnedJob(
                                        key.job,
                                        key.team,
                                        ratios.runTimes().samples(),
                                        ratios.processors().samples(),
                                        ratios.memory().samples())));
        return jobs;
    }

    /** Takes over what a former owner learned. */
    public void restore(List<LearnedJob> jobs) {
        for (LearnedJob learned : jobs) {
            LearnedRatios ratios = job(new JobKey(learned.job, learned.team));
            learned.runTimes.forEach(
                    ratio -> {
                        ratios.runTimes().add(bounded(ratio));
                        team(learned.team).runTimes().add(bounded(ratio));
                    });
            learned.processors.forEach(ratio -> ratios.processors().add(bounded(ratio)));
            learned.memory.forEach(ratio -> ratios.memory().add(bounded(ratio)));
        }
    }

    private double ratio(TaskSpecification task, double quantile) {
        LearnedRatios ofTeam = mTeams.get(task.team());
        double teamRatio =
                ofTeam == null ? 1 : ofTeam.runTimes().shrunk(quantile, TEAM_SHRINKAGE, 1);
        LearnedRatios ofJob = mJobs.get(key(task));
        return ofJob == null
                ? teamRatio
                : ofJob.runTimes().shrunk(quantile, JOB_SHRINKAGE, teamRatio);
    }

    private static long grown(long declared, RatioSamples samples) {
        return Math.max(
                declared, Math.round(declared * samples.shrunk(UPPER_QUANTILE, TEAM_SHRINKAGE, 1)));
    }

    private static double ratio(long seen, long declared) {
        return bounded(seen / (double) declared);
    }

    private static double bounded(double ratio) {
        return Math.max(1 / MAXIMUM_RATIO, Math.min(MAXIMUM_RATIO, ratio));
    }

    private JobKey key(TaskSpecification task) {
        return new JobKey(mNaming.jobOf(task), task.team());
    }

    private LearnedRatios job(TaskSpecification task) {
        return job(key(task));
    }

    private LearnedRatios job(JobKey key) {
        if (mJobs.size() >= MAXIMUM_JOBS && !mJobs.containsKey(key)) {
            mJobs.remove(mJobs.keySet().iterator().next());
        }
        return mJobs.computeIfAbsent(key, absent -> new LearnedRatios());
    }

    private LearnedRatios team(TeamName team) {
        return mTeams.computeIfAbsent(team, absent -> new LearnedRatios());
    }
}
