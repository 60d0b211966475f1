package org.hickorycleat.logic.places;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.OptionalLong;
import org.hickorycleat.model.task.Resources;
import org.junit.jupiter.api.Test;

class RackTimelineTest {
    private static final long NOW_MS = 1_000;
    private static final Resources CAPACITY = new Resources(4_000, 4_000, 0);
    private static final Resources HALF = new Resources(2_000, 1_000, 0);

    private final WorkerTimeline mFirst = new WorkerTimeline(CAPACITY, NOW_MS);
    private final WorkerTimeline mSecond = new WorkerTimeline(CAPACITY, NOW_MS);
    private final RackTimeline mRack = new RackTimeline(List.of(mFirst, mSecond));

    @Test
    void placesFollowTheEndsOfRunsAndClaims() {
        mFirst.addRun(HALF, 1_500);
        mFirst.addRun(HALF, 1_200);
        mSecond.addRun(HALF, 1_900);
        mSecond.addRun(HALF, WorkerTimeline.NEVER);

        assertThat(mRack.fitsNow(HALF)).isFalse();
        assertThat(mRack.earliestStartMs(HALF, 3, 1_000)).isEqualTo(1_900);
        assertThat(mRack.claim(HALF, 100)).isEqualTo(1_200);
        assertThat(mRack.claim(HALF, 1_000)).isEqualTo(1_300);
        assertThat(mRack.claim(HALF, 1_000)).isEqualTo(1_500);
        assertThat(mRack.claim(HALF, 1_000)).isEqualTo(1_900);
    }

    @Test
    void hasNoPlaceForTaskLargerThanWorkers() {
        Resources large = new Resources(5_000, 1_000, 0);

        assertThat(mRack.earliestStartMs(large)).isEqualTo(WorkerTimeline.NEVER);
        assertThat(mRack.claim(large, 100)).isEqualTo(WorkerTimeline.NEVER);
        assertThat(mRack.earliestStartMs(HALF, 4, 100)).isEqualTo(NOW_MS);
    }

    @Test
    void rackWithoutWorkersHasNoPlace() {
        RackTimeline empty = new RackTimeline(List.of());

        assertThat(empty.fitsNow(HALF)).isFalse();
        assertThat(empty.earliestStartMs(HALF)).isEqualTo(WorkerTimeline.NEVER);
    }

    @Test
    void endFollowsPaceThenPercentThenStart() {
        OptionalLong unknown = OptionalLong.empty();

        assertThat(estimate(unknown, unknown, 0, unknown)).isEqualTo(NOW_MS + 800);
        assertThat(estimate(OptionalLong.of(900), unknown, 0, unknown)).isEqualTo(1_700);
        assertThat(estimate(OptionalLong.of(900), OptionalLong.of(950), 75, unknown))
                .isEqualTo(1_150);
        assertThat(estimate(unknown, OptionalLong.of(950), 75, OptionalLong.of(500)))
                .isEqualTo(1_450);
        // Overdue by 100 ms.
        assertThat(estimate(OptionalLong.of(100), unknown, 0, unknown)).isEqualTo(NOW_MS + 100);
    }

    private static long estimate(
            OptionalLong startedAtMs,
            OptionalLong sampledAtMs,
            int percent,
            OptionalLong remainingMs) {
        return new RunEstimate(800, startedAtMs, sampledAtMs, percent, remainingMs)
                .expectedEndMs(NOW_MS);
    }
}
