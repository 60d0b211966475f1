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

/** A fleet kept full by batch work, with urgent tasks one by one and in bursts. */
final class UrgentWorkload {
    static final long DURATION_MS = 3_600_000;
    private static final long FILL_MS = 300_000;
    private static final long BETWEEN_MS = 20_000;
    private static final long BURST_EVERY_MS = 900_000;
    private static final int BURST = 11;

    private final Random mRandom;
    private final FleetProfile mFirm;

    UrgentWorkload(FleetProfile firm, long seed) {
        mFirm = firm;
        mRandom = new Random(seed);
    }

    List<WorkloadTask> work() {
        List<WorkloadTask> work = new ArrayList<>();
        addBatch(work);
        for (long ms = FILL_MS; ms < DURATION_MS - 60_000; ms += BETWEEN_MS) {
            work.add(urgent("urgent-" + ms, ms + mRandom.nextInt((int) BETWEEN_MS)));
        }
        for (long ms = FILL_MS * 2; ms < DURATION_MS - 60_000; ms += BURST_EVERY_MS) {
            for (int i = 0; i < BURST; i++) {
                work.add(urgent("burst-" + ms + "-" + i, ms));
            }
        }
        return work;
    }

    private void addBatch(List<WorkloadTask> work) {
        double wanted =
                2.0 * FleetProfile.WORKERS * mFirm.capacity().processorsMilli() * DURATION_MS;
        double given = 0;
        for (int i = 0; given < wanted; i++) {
            WorkloadTask item = batch(i);
            work.add(item);
            given += item.specification().resources().processorsMilli() * (double) item.runMs();
        }
    }

    private WorkloadTask batch(int number) {
        long cores = 1L << mRandom.nextInt(mFirm.batchSizes());
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
        return new WorkloadTask(task, mRandom.nextInt((int) FILL_MS / 2), runMs);
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
