package org.hickorycleat.logic.dispatch;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Optional;
import org.hickorycleat.model.job.JobId;
import org.hickorycleat.model.job.JobSubmission;
import org.hickorycleat.model.job.StepSpecification;
import org.hickorycleat.model.task.Resources;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/**
 * Replays incident 0019: an agent restarts while its worker goes on, and the load of a
 * latency-critical task there rises later because of the best-effort runs beside it.
 */
class RestartedAgentReplayTest {
    private static final JobId LATENCY_CRITICAL = new JobId("00000000000000aa");
    private static final JobId BEST_EFFORT = new JobId("00000000000000ab");
    private static final int TARGET_MS = 125;
    private static final long TAIL_BELOW_TARGET_MS = 60;
    private static final long TAIL_ABOVE_TARGET_MS = 200;
    private static final int AGENT_DOWN_MS = 500;
    private static final int MAXIMUM_INTERFERENCE_MS = 4_500;

    private final SimulatedFleet mFleet = new SimulatedFleet(19, 1);

    private static StepSpecification step(int count, int targetMs) {
        return new StepSpecification(
                count,
                new Resources(1_000, 1_000, 0),
                1_000,
                List.of(),
                true,
                false,
                false,
                Optional.empty(),
                Optional.empty(),
                0,
                false,
                true,
                "image-" + targetMs,
                targetMs,
                targetMs == 0,
                -1);
    }

    private void submit(JobId job, StepSpecification step) {
        mFleet.submit(
                new JobSubmission(
                        job,
                        DispatchFixture.QUEUE,
                        "payload",
                        List.of(step),
                        0,
                        0,
                        0,
                        mFleet.nowMs()));
    }

    @BeforeEach
    void startJobs() {
        mFleet.setMeasurement(0, TAIL_BELOW_TARGET_MS);
        mFleet.advanceTime(1_000);
        submit(LATENCY_CRITICAL, step(2, TARGET_MS));
        submit(BEST_EFFORT, step(3, 0));
        mFleet.advanceTime(1_500);
        assertThat(mFleet.percents(0, BEST_EFFORT)).containsExactly(100, 100, 100);
    }

    private void exceedTarget(long milliseconds) {
        mFleet.setMeasurement(0, TAIL_ABOVE_TARGET_MS);
        mFleet.advanceTime(milliseconds);
    }

    @Test
    void stopsBestEffortRunsOfEarlierAgentWithinBound() {
        mFleet.killAgent(0, AGENT_DOWN_MS);
        mFleet.advanceTime(3_000);

        exceedTarget(MAXIMUM_INTERFERENCE_MS / 2);

        assertThat(mFleet.percents(0, BEST_EFFORT)).isNotEmpty().containsOnly(0);
    }

    @Test
    void stopsThemAlthoughLinkIsLostAfterRestart() {
        mFleet.killAgent(0, AGENT_DOWN_MS);
        mFleet.advanceTime(600);
        mFleet.resetLink(0);
        mFleet.advanceTime(2_000);

        exceedTarget(MAXIMUM_INTERFERENCE_MS / 2);

        assertThat(mFleet.percents(0, BEST_EFFORT)).isNotEmpty().containsOnly(0);
    }

    @Test
    void raisesSharesThatEarlierAgentLowered() {
        exceedTarget(MAXIMUM_INTERFERENCE_MS / 2);
        mFleet.killAgent(0, AGENT_DOWN_MS);
        mFleet.setMeasurement(0, TAIL_BELOW_TARGET_MS);
        mFleet.advanceTime(10_000);

        assertThat(mFleet.percents(0, BEST_EFFORT)).isNotEmpty().containsOnly(100);
    }
}
