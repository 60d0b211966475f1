package org.hickorycleat.logic.supervision;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Map;
import org.hickorycleat.model.job.JobId;
import org.hickorycleat.model.job.RunId;
import org.hickorycleat.model.job.RunSample;
import org.hickorycleat.model.job.TaskKey;
import org.hickorycleat.model.job.TaskTraits;
import org.hickorycleat.model.message.InterferenceWeights;
import org.junit.jupiter.api.Test;

class BestEffortThrottleTest {
    private static final long CAPACITY_MILLI = 16_000;
    private static final int TARGET_MS = 50;
    private static final RunId SERVING = run(0);
    private static final RunId HARMFUL = run(1);
    private static final RunId HARMLESS = run(2);
    private static final Map<RunId, TaskTraits> TRAITS =
            Map.of(
                    SERVING, new TaskTraits("serving", false, TARGET_MS, 3_000),
                    HARMFUL, new TaskTraits("harmful", true, 0, 2_000),
                    HARMLESS, new TaskTraits("harmless", true, 0, 2_000));

    private final BestEffortThrottle mPacer = new BestEffortThrottle();

    private static RunId run(int index) {
        return new RunId(new TaskKey(new JobId("00000000000000aa"), 0, 0, index), 1);
    }

    private boolean update(long tailMs, long nowMs) {
        return mPacer.update(
                List.of(
                        new RunSample(SERVING, "", 100, tailMs),
                        new RunSample(HARMFUL, "", 10, 2_000),
                        new RunSample(HARMLESS, "", 10, 2_000)),
                TRAITS,
                CAPACITY_MILLI,
                nowMs);
    }

    private void learn() {
        mPacer.onWeights(
                List.of(
                        new InterferenceWeights.ImageWeight("harmful", 2_000),
                        new InterferenceWeights.ImageWeight("harmless", 33)));
    }

    @Test
    void leavesSharesAloneBelowTarget() {
        assertThat(update(30, 1_000)).isFalse();
        assertThat(mPacer.lowestPercent()).isEqualTo(100);
    }

    @Test
    void slowsDownOnlyTheImageThatDisturbs() {
        learn();
        update(75, 1_000);

        assertThat(mPacer.percent("harmful")).isLessThan(60);
        assertThat(mPacer.percent("harmless")).isEqualTo(100);
    }

    @Test
    void slowsDownAllImagesWhileNothingIsKnown() {
        update(75, 1_000);

        assertThat(mPacer.percent("harmful")).isLessThan(100);
        assertThat(mPacer.percent("harmless")).isLessThan(100);
    }

    @Test
    void waitsForTheMeasurementBeforeTheNextChange() {
        learn();
        update(75, 1_000);
        int first = mPacer.percent("harmful");

        assertThat(update(75, 1_200)).isFalse();
        assertThat(mPacer.percent("harmful")).isEqualTo(first);
    }

    @Test
    void raisesSharesAgainUpToFullPace() {
        learn();
        update(75, 1_000);
        for (long nowMs = 2_000; nowMs < 20_000; nowMs += 500) {
            update(20, nowMs);
        }

        assertThat(mPacer.lowestPercent()).isEqualTo(100);
    }

    @Test
    void stopsHarmWithinTwoSecondsWhateverTheExcess() {
        learn();
        for (long nowMs = 1_000; nowMs <= 3_000; nowMs += 100) {
            update(500, nowMs);
        }

        assertThat(mPacer.percent("harmful")).isLessThan(5);
    }
}
