package org.hickorycleat.daemon.fleet;

import static org.assertj.core.api.Assertions.assertThat;

import io.reactivex.rxjava3.schedulers.TestScheduler;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

class GuardedTaskTest {
    private static final long INTERVAL_MS = 100;

    private final TestScheduler mScheduler = new TestScheduler();
    private int mRounds;

    private void tick() {
        GuardedTask.run("tick", this::failInEveryRound);
        mScheduler.scheduleDirect(this::tick, INTERVAL_MS, TimeUnit.MILLISECONDS);
    }

    private void failInEveryRound() {
        mRounds++;
        if (mRounds % 2 == 0) {
            throw new StackOverflowError();
        }
        throw new IllegalStateException("odd state");
    }

    /** Guards against a periodic task that ends with its first exception. */
    @Test
    void continuesPeriodicTaskAfterFailures() {
        tick();
        mScheduler.advanceTimeBy(3 * INTERVAL_MS, TimeUnit.MILLISECONDS);

        assertThat(mRounds).isEqualTo(4);
    }
}
