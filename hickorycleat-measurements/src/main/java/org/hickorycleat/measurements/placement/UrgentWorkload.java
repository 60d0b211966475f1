package org.hickorycleat.measurements.placement;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import org.hickorycleat.model.identifier.TaskId;
import org.hickorycleat.model.identifier.TeamName;
import org.hickorycleat.model.manifest.Criticality;
import org.hickorycleat.model.task.Resources;
import org.hickorycleat.model.task.TaskSpecification;

/** Batch work that keeps a fleet full, with urgent tasks that arrive one by one and in bursts. */
final class UrgentWorkload {
    static final long DURATION_MS = 3_600_000;
    private static final long URGENT_START_MS = 300_000;
    private static final long URGENT_INTERVAL_MS = 20_000;
    private static final long BURST_INTERVAL_MS = 900_000;
    private static final int BURST_TASKS = 11;

    private final Random mRandom;
    private final FleetProfile mProfile;

    UrgentWorkload(FleetProfile profile, long seed) {
        mProfile = profile;
        mRandom = new Random(seed);
    }

    List<WorkloadTask> tasks() {
        List<WorkloadTask> tasks = new ArrayList<>();
        addBatch(tasks);
        for (long timeMs = URGENT_START_MS;
                timeMs < DURATION_MS - 60_000;
                timeMs += URGENT_INTERVAL_MS) {
            tasks.add(
                    urgent("urgent-" + timeMs, timeMs + mRandom.nextInt((int) URGENT_INTERVAL_MS)));
        }
        for (long timeMs = URGENT_START_MS * 2;
                timeMs < DURATION_MS - 60_000;
                timeMs += BURST_INTERVAL_MS) {
            for (int i = 0; i < BURST_TASKS; i++) {
                tasks.add(urgent("burst-" + timeMs + "-" + i, timeMs));
            }
        }
        return tasks;
    }

    private void addBatch(List<WorkloadTask> tasks) {
        double targetDemand =
                2.0 * FleetProfile.WORKERS * mProfile.capacity().processorsMilli() * DURATION_MS;
        double demand = 0;
        for (int i = 0; demand < targetDemand; i++) {
            WorkloadTask task = batch(i);
            tasks.add(task);
            demand += task.specification().resources().processorsMilli() * (double) task.runMs();
        }
    }

    private WorkloadTask batch(int number) {
        long cores = 1L << mRandom.nextInt(mProfile.batchSizes());
        long runMs = (long) (600_000 * Math.exp(0.9 * mRandom.nextGaussian()));
        long declaredMs = (long) (runMs * Math.pow(10, 2 * mRandom.nextDouble() - 1));
        Resources size = new Resources(cores * 1_000, cores * 3_700, 0);
        TaskSpecification task =
                new TaskSpecification(
                        new TaskId("batch-" + number % 100 + "/" + number),
                        new TeamName("team"),
                        Optional.empty(),
                        Criticality.NORMAL,
                        size,
                        Math.max(1, declaredMs),
                        0,
                        runMs * 4 + DURATION_MS / 2,
                        mRandom.nextInt(10) < 7,
                        false);
        return new WorkloadTask(task, mRandom.nextInt((int) URGENT_START_MS / 2), runMs);
    }

    private WorkloadTask urgent(String name, long arrivalMs) {
        long cores = 1L << mRandom.nextInt(3);
        TaskSpecification task =
                new TaskSpecification(
                        new TaskId(name),
                        new TeamName("team"),
                        Optional.empty(),
                        Criticality.CRITICAL,
                        new Resources(cores * 1_000, cores * 3_700, 0),
                        60_000,
                        0,
                        Long.MAX_VALUE,
                        true,
                        true);
        return new WorkloadTask(task, arrivalMs, 30_000 + mRandom.nextInt(60_000));
    }
}
