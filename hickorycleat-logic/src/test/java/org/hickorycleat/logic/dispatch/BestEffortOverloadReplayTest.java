package org.hickorycleat.logic.dispatch;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Optional;
import java.util.Random;
import org.hickorycleat.model.job.StepSpecification;
import org.hickorycleat.model.task.Resources;
import org.junit.jupiter.api.Test;

/**
 * Replays a burst of wide best-effort jobs: for some seconds they request more than twice the
 * processors of the fleet, then four fifths of them.
 */
class BestEffortOverloadReplayTest {
    private static final int WORKERS = 40;
    private static final int TASK_PROCESSORS_MILLI = 1_800;
    private static final int TASK_MS = 2_400;
    private static final int MEAN_WIDTH = 14;
    private static final int STEPS = 2;
    private static final double BURST_LOAD = 2.2;
    private static final double USUAL_LOAD = 0.8;
    private static final int BURST_MS = 6_000;
    private static final int DAY_MS = 20_000;
    private static final int ARRIVAL_STEP_MS = 100;

    /** Objective of a job: stretch of 2 times its chain of two steps, and one second. */
    private static final int OBJECTIVE_MS = 2 * STEPS * TASK_MS + 1_000;

    private final Random mRandom = new Random(17);

    private static StepSpecification step(int count, List<Integer> predecessors) {
        return new StepSpecification(
                count,
                new Resources(TASK_PROCESSORS_MILLI, 500, 0),
                TASK_MS,
                predecessors,
                true,
                false,
                false,
                Optional.empty(),
                Optional.empty(),
                0,
                false,
                false,
                "batch",
                0,
                true,
                -1);
    }

    private void submitJobs(ReplayedFleet fleet, double load, int milliseconds) {
        double capacity = (double) WORKERS * ReplayedFleet.WORKER_PROCESSORS_MILLI;
        double workOfJob = (double) STEPS * MEAN_WIDTH * TASK_PROCESSORS_MILLI * TASK_MS;
        double jobsPerStep = load * capacity * ARRIVAL_STEP_MS / workOfJob;
        for (int passed = 0; passed < milliseconds; passed += ARRIVAL_STEP_MS) {
            if (mRandom.nextDouble() < jobsPerStep) {
                int width = 1 + mRandom.nextInt(2 * MEAN_WIDTH - 1);
                fleet.submit(
                        String.format("%016x", fleet.submitted() + 1),
                        step(width, List.of()),
                        step(width, List.of(0)));
            }
            fleet.play(ARRIVAL_STEP_MS);
        }
    }

    // The work of the burst fits into the time until the objective of its last job. Processors
    // shared among all jobs would make many of them late.
    @Test
    void completesEveryJobOfTheBurstOnTime() {
        ReplayedFleet fleet = new ReplayedFleet(WORKERS);

        submitJobs(fleet, BURST_LOAD, BURST_MS);
        fleet.play(2L * OBJECTIVE_MS);

        assertThat(BURST_LOAD * BURST_MS).isLessThan(BURST_MS + OBJECTIVE_MS);
        assertThat(fleet.completedWithin(OBJECTIVE_MS)).isEqualTo(fleet.submitted());
    }

    @Test
    void stopsNoRunDuringTheBurst() {
        ReplayedFleet fleet = new ReplayedFleet(WORKERS);

        submitJobs(fleet, BURST_LOAD, BURST_MS);
        fleet.play(2L * OBJECTIVE_MS);

        assertThat(fleet.mOwner.mStops).isEmpty();
    }

    @Test
    void completesEveryJobAfterTheBurst() {
        ReplayedFleet fleet = new ReplayedFleet(WORKERS);

        submitJobs(fleet, BURST_LOAD, BURST_MS);
        submitJobs(fleet, USUAL_LOAD, DAY_MS - BURST_MS);
        fleet.play(2L * DAY_MS);

        assertThat(fleet.completed()).isEqualTo(fleet.submitted());
    }

    @Test
    void runsSomeTaskOfEveryJobThroughoutTheBurst() {
        ReplayedFleet fleet = new ReplayedFleet(WORKERS);

        submitJobs(fleet, BURST_LOAD, BURST_MS);
        fleet.play(3_000);

        long started =
                fleet.mOwner.mStarts.stream()
                        .map(start -> start.run().task().job())
                        .distinct()
                        .count();
        assertThat(started).isEqualTo(fleet.submitted());
    }
}
