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
 * Estimates the ratio of actual to declared run times and resources, per job and, for unknown jobs,
 * per team. With few samples the ratio of a job is shrunk towards that of its team, and the ratio
 * of a team towards 1. Not safe for use by several threads.
 */
public final class RunTimeCorrection implements RunTimeEstimator {
    /** Number of runs of a job after which its ratio has the same weight as that of its team. */
    private static final double JOB_PRIOR_SAMPLES = 1;

    /** Number of runs of a team after which its ratio has the same weight as the declared value. */
    private static final double TEAM_PRIOR_SAMPLES = 4;

    private static final double UPPER_QUANTILE = 0.9;

    /** Declared values are off by a factor of up to 10; the margin allows for faulty clocks. */
    private static final double MAXIMUM_RATIO = 20;

    /** Bounds the memory of an owner. */
    private static final int MAXIMUM_JOBS = 20_000;

    private final JobNaming mNaming;
    private final Map<JobKey, ObservedRatios> mJobs = new HashMap<>();
    private final Map<TeamName, ObservedRatios> mTeams = new HashMap<>();

    /** Creates a correction without samples, which returns the declared values. */
    public RunTimeCorrection(JobNaming naming) {
        mNaming = naming;
    }

    private record JobKey(JobName job, TeamName team) {}

    /**
     * Observed ratios of a job, for the snapshot of a shard.
     *
     * @param job name of the job
     * @param team its team
     * @param runTimes ratios of run time to declared run time, oldest first
     * @param processors ratios of used to declared processors, oldest first
     * @param memory ratios of used to declared memory, oldest first
     */
    public record JobRatios(
            JobName job,
            TeamName team,
            List<Double> runTimes,
            List<Double> processors,
            List<Double> memory) {
        /** Copies the lists. */
        public JobRatios {
            runTimes = List.copyOf(runTimes);
            processors = List.copyOf(processors);
            memory = List.copyOf(memory);
        }
    }

    /** Records a successful run; {@code runMs} is its whole run time. */
    public void recordRun(TaskSpecification task, long runMs) {
        if (task.service().isPresent() || task.estimatedMs() <= 0) {
            return;
        }
        double ratio = clamped(runMs / (double) task.estimatedMs());
        jobRatios(task).runTimes().add(ratio);
        teamRatios(task.team()).runTimes().add(ratio);
    }

    /** Records a measurement of the resources that a task uses. */
    public void recordUsage(TaskSpecification task, Resources used) {
        Resources declared = task.resources();
        if (declared.processorsMilli() > 0) {
            jobRatios(task)
                    .processors()
                    .add(ratio(used.processorsMilli(), declared.processorsMilli()));
        }
        if (declared.memoryMebibytes() > 0) {
            jobRatios(task).memory().add(ratio(used.memoryMebibytes(), declared.memoryMebibytes()));
        }
    }

    @Override
    public long expectedMs(TaskSpecification task) {
        return Math.max(1, Math.round(task.estimatedMs() * runTimeRatio(task, 0.5)));
    }

    @Override
    public long upperMs(TaskSpecification task) {
        double ratio = Math.max(runTimeRatio(task, UPPER_QUANTILE), runTimeRatio(task, 0.5));
        return Math.max(1, Math.round(task.estimatedMs() * ratio));
    }

    /**
     * {@inheritDoc}
     *
     * <p>Never less than declared, even if the task uses less, since the worker reserves the
     * declared resources.
     */
    @Override
    public Resources size(TaskSpecification task) {
        ObservedRatios ratios = mJobs.get(jobKey(task));
        if (ratios == null) {
            return task.resources();
        }
        Resources declared = task.resources();
        return new Resources(
                increased(declared.processorsMilli(), ratios.processors()),
                increased(declared.memoryMebibytes(), ratios.memory()),
                declared.accelerators());
    }

    /** Returns the observed ratios of all jobs. */
    public List<JobRatios> snapshot() {
        List<JobRatios> jobs = new ArrayList<>();
        mJobs.forEach(
                (key, ratios) ->
                        jobs.add(
                                new JobRatios(
                                        key.job,
                                        key.team,
                                        ratios.runTimes().samples(),
                                        ratios.processors().samples(),
                                        ratios.memory().samples())));
        return jobs;
    }

    /** Adds the observed ratios of a previous owner. */
    public void restore(List<JobRatios> jobs) {
        for (JobRatios job : jobs) {
            ObservedRatios ratios = jobRatios(new JobKey(job.job, job.team));
            job.runTimes.forEach(
                    ratio -> {
                        ratios.runTimes().add(clamped(ratio));
                        teamRatios(job.team).runTimes().add(clamped(ratio));
                    });
            job.processors.forEach(ratio -> ratios.processors().add(clamped(ratio)));
            job.memory.forEach(ratio -> ratios.memory().add(clamped(ratio)));
        }
    }

    private double runTimeRatio(TaskSpecification task, double quantile) {
        ObservedRatios ofTeam = mTeams.get(task.team());
        double teamRatio =
                ofTeam == null
                        ? 1
                        : ofTeam.runTimes().shrunkQuantile(quantile, TEAM_PRIOR_SAMPLES, 1);
        ObservedRatios ofJob = mJobs.get(jobKey(task));
        return ofJob == null
                ? teamRatio
                : ofJob.runTimes().shrunkQuantile(quantile, JOB_PRIOR_SAMPLES, teamRatio);
    }

    private static long increased(long declared, RatioSamples samples) {
        return Math.max(
                declared,
                Math.round(
                        declared * samples.shrunkQuantile(UPPER_QUANTILE, TEAM_PRIOR_SAMPLES, 1)));
    }

    private static double ratio(long observed, long declared) {
        return clamped(observed / (double) declared);
    }

    private static double clamped(double ratio) {
        return Math.max(1 / MAXIMUM_RATIO, Math.min(MAXIMUM_RATIO, ratio));
    }

    private JobKey jobKey(TaskSpecification task) {
        return new JobKey(mNaming.jobOf(task), task.team());
    }

    private ObservedRatios jobRatios(TaskSpecification task) {
        return jobRatios(jobKey(task));
    }

    private ObservedRatios jobRatios(JobKey key) {
        if (mJobs.size() >= MAXIMUM_JOBS && !mJobs.containsKey(key)) {
            mJobs.remove(mJobs.keySet().iterator().next());
        }
        return mJobs.computeIfAbsent(key, absent -> new ObservedRatios());
    }

    private ObservedRatios teamRatios(TeamName team) {
        return mTeams.computeIfAbsent(team, absent -> new ObservedRatios());
    }
}
