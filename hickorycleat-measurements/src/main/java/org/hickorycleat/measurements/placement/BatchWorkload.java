package org.hickorycleat.measurements.placement;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import org.hickorycleat.model.identifier.ServiceName;
import org.hickorycleat.model.identifier.TaskId;
import org.hickorycleat.model.identifier.TeamName;
import org.hickorycleat.model.manifest.Criticality;
import org.hickorycleat.model.task.Resources;
import org.hickorycleat.model.task.TaskSpecification;

/**
 * Batch jobs that recur over several nights. The declared run time of each job is wrong by a factor
 * from a tenth to ten, and the run times of its runs vary around the typical one.
 */
final class BatchWorkload {
    static final long NIGHT_MS = 8 * 3_600_000L;
    static final int NIGHTS = 2;
    private static final int TEAMS = 6;

    private final Random mRandom;
    private final FleetProfile mProfile;
    private final double mLoad;

    BatchWorkload(FleetProfile profile, double load, long seed) {
        mProfile = profile;
        mLoad = load;
        mRandom = new Random(seed);
    }

    private record Job(int number, Resources size, double typicalMs, double declaredFactor) {}

    /** Returns the service instances and the job runs of all nights. */
    List<WorkloadTask> tasks() {
        List<WorkloadTask> tasks = new ArrayList<>(services());
        List<Job> jobs = jobs();
        for (int night = 0; night < NIGHTS; night++) {
            for (Job job : jobs) {
                tasks.add(run(job, night));
            }
        }
        return tasks;
    }

    private List<WorkloadTask> services() {
        List<WorkloadTask> services = new ArrayList<>();
        Resources size =
                new Resources(
                        mProfile.capacity().processorsMilli() / 8,
                        mProfile.capacity().memoryMebibytes() / 8,
                        0);
        for (int i = 0; i < FleetProfile.WORKERS; i++) {
            TaskSpecification task =
                    new TaskSpecification(
                            new TaskId("service/" + i),
                            new TeamName("team-0"),
                            Optional.of(new ServiceName("service")),
                            Criticality.CRITICAL,
                            size,
                            0,
                            0,
                            Long.MAX_VALUE,
                            false,
                            false);
            services.add(new WorkloadTask(task, 0, Long.MAX_VALUE));
        }
        return services;
    }

    /**
     * Draws jobs until their demand is the given share of the capacity left by services in a night.
     */
    private List<Job> jobs() {
        double freeCapacity =
                7.0 / 8 * FleetProfile.WORKERS * mProfile.capacity().processorsMilli() * NIGHT_MS;
        List<Job> jobs = new ArrayList<>();
        double demand = 0;
        while (demand < mLoad * freeCapacity) {
            Job job = job(jobs.size());
            jobs.add(job);
            demand += job.typicalMs * job.size.processorsMilli();
        }
        return jobs;
    }

    private Job job(int number) {
        double cores = Math.pow(2, mRandom.nextInt(mProfile.batchSizes()));
        double memory = cores * 3_800 * (0.5 + mRandom.nextDouble());
        Resources resources =
                new Resources(
                        (long) (cores * 1_000),
                        (long) Math.min(memory, 0.8 * mProfile.capacity().memoryMebibytes()),
                        0);
        double typicalMs = Math.exp(Math.log(15 * 60_000.0) + 0.9 * mRandom.nextGaussian());
        double declaredFactor = Math.pow(10, 2 * mRandom.nextDouble() - 1);
        return new Job(number, resources, Math.min(typicalMs, NIGHT_MS / 4.0), declaredFactor);
    }

    private WorkloadTask run(Job job, int night) {
        long runMs = (long) (job.typicalMs * Math.exp(0.15 * mRandom.nextGaussian()));
        long arrivalMs = night * NIGHT_MS + (long) (mRandom.nextDouble() * NIGHT_MS * 0.8);
        boolean dueAtNightEnd = mRandom.nextInt(10) < 4;
        long deadlineMs =
                dueAtNightEnd
                        ? (night + 1) * NIGHT_MS
                        : arrivalMs + (long) (runMs * (1.5 + 4 * mRandom.nextDouble()));
        deadlineMs = Math.max(deadlineMs, arrivalMs + (long) (1.2 * runMs));
        TaskSpecification task =
                new TaskSpecification(
                        new TaskId("job-" + job.number + "/" + night),
                        new TeamName("team-" + job.number % TEAMS),
                        Optional.empty(),
                        Criticality.NORMAL,
                        job.size,
                        Math.max(1, (long) (job.typicalMs * job.declaredFactor)),
                        0,
                        deadlineMs,
                        mRandom.nextInt(10) < 7,
                        false);
        return new WorkloadTask(task, arrivalMs, runMs);
    }
}
