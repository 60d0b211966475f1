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
    private static final int MAXIMUM_INTERFERENCE_MS = 4_500;
    private static final RunId LATENCY_CRITICAL = run(0);
    private static final RunId HARMFUL = run(1);
    private static final RunId HARMLESS = run(2);
    private static final Map<RunId, TaskTraits> TRAITS =
            Map.of(
                    LATENCY_CRITICAL, new TaskTraits("serving", false, TARGET_MS, 3_000),
                    HARMFUL, new TaskTraits("harmful", true, 0, 2_000),
                    HARMLESS, new TaskTraits("harmless", true, 0, 2_000));

    private final BestEffortThrottle mThrottle = new BestEffortThrottle(MAXIMUM_INTERFERENCE_MS);

    private static RunId run(int index) {
        return new RunId(new TaskKey(new JobId("00000000000000aa"), 0, 0, index), 1);
    }

    private boolean update(long tailMs, long nowMs) {
        return mThrottle.update(
                List.of(
                        new RunSample(LATENCY_CRITICAL, "", 100, tailMs),
                        new RunSample(HARMFUL, "", 10, 2_000),
                        new RunSample(HARMLESS, "", 10, 2_000)),
                TRAITS,
                CAPACITY_MILLI,
                nowMs);
    }

    private void setWeights() {
        mThrottle.updateWeights(
                List.of(
                        new InterferenceWeights.ImageWeight("harmful", 2_000),
                        new InterferenceWeights.ImageWeight("harmless", 33)));
    }

    @Test
    void keepsFullShareBelowTarget() {
        assertThat(update(30, 1_000)).isFalse();
        assertThat(mThrottle.lowestPercent()).isEqualTo(100);
    }

    @Test
    void throttlesOnlyHarmfulImage() {
        setWeights();
        update(75, 1_000);

        assertThat(mThrottle.percent("harmful")).isLessThan(60);
        assertThat(mThrottle.percent("harmless")).isEqualTo(100);
    }

    @Test
    void throttlesAllImagesWithoutWeights() {
        update(75, 1_000);

        assertThat(mThrottle.percent("harmful")).isLessThan(100);
        assertThat(mThrottle.percent("harmless")).isLessThan(100);
    }

    @Test
    void waitsForMeasurementBeforeNextChange() {
        setWeights();
        update(75, 1_000);
        int first = mThrottle.percent("harmful");

        assertThat(update(75, 1_200)).isFalse();
        assertThat(mThrottle.percent("harmful")).isEqualTo(first);
    }

    @Test
    void raisesSharesAgainUpToFullPercent() {
        setWeights();
        update(75, 1_000);
        for (long nowMs = 2_000; nowMs < 20_000; nowMs += 500) {
            update(20, nowMs);
        }

        assertThat(mThrottle.lowestPercent()).isEqualTo(100);
    }

    @Test
    void throttlesHarmfulImageBelowFivePercentWithinTwoSeconds() {
        setWeights();
        for (long nowMs = 1_000; nowMs <= 3_000; nowMs += 100) {
            update(500, nowMs);
        }

        assertThat(mThrottle.percent("harmful")).isLessThan(5);
    }

    /** Plays misses of just above the target, with a rough measurement below it at times. */
    private void playMisses(long fromMs, long toMs) {
        for (long nowMs = fromMs; nowMs <= toMs; nowMs += 100) {
            update(nowMs % 400 == 0 ? 45 : 53, nowMs);
        }
    }

    /**
     * Replays a miss that is too small for the shares to be lowered far in time, with estimates
     * that name the wrong image.
     */
    @Test
    void stopsEveryImageWellBeforeBoundOfInterference() {
        mThrottle.updateWeights(
                List.of(
                        new InterferenceWeights.ImageWeight("harmful", 50),
                        new InterferenceWeights.ImageWeight("harmless", 20_000)));

        playMisses(1_000, 1_000 + MAXIMUM_INTERFERENCE_MS / 2);

        assertThat(mThrottle.percent("harmful")).isZero();
        assertThat(mThrottle.percent("harmless")).isZero();
        assertThat(mThrottle.percent("started later")).isZero();
    }

    @Test
    void raisesSharesAgainAfterStop() {
        playMisses(1_000, 1_000 + MAXIMUM_INTERFERENCE_MS / 2);
        for (long nowMs = 4_000; nowMs < 20_000; nowMs += 500) {
            update(20, nowMs);
        }

        assertThat(mThrottle.lowestPercent()).isEqualTo(100);
        assertThat(mThrottle.percent("started later")).isEqualTo(100);
    }
}
