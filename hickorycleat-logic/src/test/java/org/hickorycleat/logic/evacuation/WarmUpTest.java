package org.hickorycleat.logic.evacuation;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

class WarmUpTest {
    private final WarmUp mWarmUp = new WarmUp();

    @Test
    void givesWholeShareToWarmWorker() {
        mWarmUp.onDescribed(1, 0, 100);

        assertThat(mWarmUp.share(100)).isEqualTo(1);
    }

    /** Guards against a limit for best-effort tasks, which request more than a worker has. */
    @Test
    void letsWarmWorkerTakeMoreThanItsProcessors() {
        mWarmUp.onDescribed(1, 0, 100);

        assertThat(mWarmUp.mayTake(16_000, 4_000, 16_000, 100)).isTrue();
    }

    @Test
    void growsShareUntilWorkerIsWarm() {
        mWarmUp.onDescribed(1, 8_000, 100);

        assertThat(mWarmUp.share(100)).isEqualTo(0.25);
        assertThat(mWarmUp.share(4_100)).isEqualTo(0.625);
        assertThat(mWarmUp.share(8_100)).isEqualTo(1);
    }

    /** Guards against a worker that stays cold because its last heartbeat is reported again. */
    @Test
    void countsTimeFromFirstReportOfDescription() {
        mWarmUp.onDescribed(1, 8_000, 100);
        mWarmUp.onDescribed(1, 8_000, 8_000);

        assertThat(mWarmUp.share(8_100)).isEqualTo(1);
    }

    @Test
    void followsLaterDescription() {
        mWarmUp.onDescribed(1, 8_000, 0);
        mWarmUp.onDescribed(2, 2_000, 4_000);

        assertThat(mWarmUp.share(4_000)).isEqualTo(0.8125);
        assertThat(mWarmUp.share(6_000)).isEqualTo(1);
    }

    @Test
    void startsAgainWhenWarmWorkerBecomesCold() {
        mWarmUp.onDescribed(1, 8_000, 0);
        mWarmUp.onDescribed(2, 4_000, 20_000);

        assertThat(mWarmUp.share(20_000)).isEqualTo(0.25);
    }

    @Test
    void letsEmptyWorkerTakeOneTaskOfAnySize() {
        mWarmUp.onDescribed(1, 8_000, 0);

        assertThat(mWarmUp.mayTake(0, 16_000, 16_000, 0)).isTrue();
        assertThat(mWarmUp.mayTake(1_000, 4_000, 16_000, 0)).isFalse();
    }
}
