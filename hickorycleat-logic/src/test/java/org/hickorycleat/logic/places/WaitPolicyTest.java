package org.hickorycleat.logic.places;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.OptionalLong;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.DoubleRange;
import net.jqwik.api.constraints.IntRange;
import org.hickorycleat.model.job.JobId;
import org.hickorycleat.model.job.TaskKey;
import org.junit.jupiter.api.Test;

class WaitPolicyTest {
    private static final TaskKey STEP = new TaskKey(new JobId("1"), 0, 0, 0);

    private static WaitDecision decide(
            long nowMs, long nearStartMs, double nearMs, double farMs, OptionalLong latestFarMs) {
        return WaitPolicy.expectedEnds()
                .decide(new WaitCase(STEP, nowMs, 0, nearStartMs, nearMs, farMs, latestFarMs));
    }

    /** Whatever the estimate says, a wait stays below the loss of a run elsewhere. */
    @Property(tries = 1_000, seed = "46")
    void waitsNoLongerThanRunElsewhereLoses(
            @ForAll @IntRange(max = 100_000) int nowMs,
            @ForAll @IntRange(max = 100_000) int expectedWaitMs,
            @ForAll @IntRange(max = 50_000) int nearMs,
            @ForAll @DoubleRange(min = 1, max = 10) double factor) {
        double farMs = nearMs * factor;
        WaitDecision decision =
                decide(nowMs, nowMs + expectedWaitMs, nearMs, farMs, OptionalLong.empty());

        if (decision == WaitDecision.WAIT) {
            assertThat(nowMs + expectedWaitMs + nearMs).isLessThanOrEqualTo((int) (nowMs + farMs));
            assertThat((double) nowMs + expectedWaitMs).isLessThanOrEqualTo(farMs - nearMs);
        }
    }

    @Test
    void slackEndsWaitOnlyForJobThatCanMeetItsObjectiveElsewhere() {
        assertThat(decide(0, 500, 1_000, 2_000, OptionalLong.of(400)))
                .isEqualTo(WaitDecision.NO_SLACK);
        assertThat(decide(0, 500, 1_000, 2_000, OptionalLong.of(600))).isEqualTo(WaitDecision.WAIT);
        assertThat(decide(0, 500, 1_000, 2_000, OptionalLong.of(-100)))
                .isEqualTo(WaitDecision.WAIT);
    }

    @Test
    void correctionGrowsWithWaitsThatWereTooShortAndIsForgotten() {
        WaitCorrection correction = new WaitCorrection();
        for (int i = 0; i < 10; i++) {
            correction.record(200, 600, 0);
        }

        assertThat(correction.factor(0)).isGreaterThan(2).isLessThan(3);
        assertThat(correction.factor(60_000)).isLessThan(1.01);
    }
}
