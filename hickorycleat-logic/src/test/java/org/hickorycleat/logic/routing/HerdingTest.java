package org.hickorycleat.logic.routing;

import static java.util.concurrent.TimeUnit.MILLISECONDS;
import static org.assertj.core.api.Assertions.assertThat;
import static org.hickorycleat.logic.membership.AgentFixture.SERVICE;

import io.reactivex.rxjava3.schedulers.TestScheduler;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import java.util.SplittableRandom;
import org.hickorycleat.logic.membership.AgentFixture;
import org.hickorycleat.logic.membership.TargetDirectory;
import org.hickorycleat.model.identifier.ZoneId;
import org.hickorycleat.model.message.LoadSignal;
import org.hickorycleat.model.message.TargetState;
import org.hickorycleat.model.result.ResultCode;
import org.junit.jupiter.api.Test;

/** Several entries that learn of each other's load only from reports that are a second late. */
class HerdingTest {
    private static final int ENTRIES = 4;
    private static final int TARGETS = 11;

    /** Uniform between 50 and 150 ms. */
    private static final int HOLD_MS = 100;

    private static final int RUN_MS = 15_000;
    private static final int WARM_UP_MS = 3_000;

    /** Keeps 5.5 of 8 slots of each target in use on average. */
    private static final double REQUESTS_PER_MS = 5.5 * TARGETS / HOLD_MS;

    private final TestScheduler mScheduler = new TestScheduler(100_000, MILLISECONDS);
    private final SplittableRandom mRandom = new SplittableRandom(5);
    private final List<PowerOfTwoSelector> mSelectors = new ArrayList<>();
    private final List<AgentFixture> mAgents = new ArrayList<>();
    private final int[] mInFlight = new int[TARGETS];

    HerdingTest() {
        for (int entry = 0; entry < ENTRIES; entry++) {
            TargetDirectory directory = new TargetDirectory(mScheduler);
            directory.setLiveEntries(ENTRIES);
            mSelectors.add(
                    new PowerOfTwoSelector(
                            directory, new ZoneId("a"), RoutingSettings.DEFAULT, entry));
            for (int target = 0; target < TARGETS; target++) {
                AgentFixture agent = new AgentFixture(directory, target, "a");
                agent.connect();
                agent.report(TargetState.READY, AgentFixture.IDLE, 0);
                mAgents.add(agent);
            }
        }
    }

    /**
     * Guards against all entries turning to the targets that old reports call idle: the load of
     * each target must stay near the mean over every second.
     */
    @Test
    void lateReportsCauseNeitherHerdingNorOscillation() {
        double[] secondSums = new double[TARGETS];
        int overloaded = 0;
        for (int ms = 0; ms < RUN_MS; ms++) {
            step(ms);
            overloaded += ms < WARM_UP_MS ? 0 : overloadedTargets();
            for (int target = 0; target < TARGETS; target++) {
                secondSums[target] += mInFlight[target];
            }
            if (ms % 1_000 == 999) {
                if (ms >= WARM_UP_MS) {
                    assertBalanced(secondSums);
                }
                Arrays.fill(secondSums, 0);
            }
        }
        double share = (double) overloaded / ((RUN_MS - WARM_UP_MS) * TARGETS);
        assertThat(share).as("share of time beyond 12 requests").isLessThan(0.01);
    }

    private void step(int ms) {
        if (ms % 1_000 == 0) {
            sendLateReports();
        }
        int arrivals = (int) REQUESTS_PER_MS;
        if (mRandom.nextDouble() < REQUESTS_PER_MS - arrivals) {
            arrivals++;
        }
        for (int i = 0; i < arrivals; i++) {
            request();
        }
        mScheduler.advanceTimeBy(1, MILLISECONDS);
    }

    private void sendLateReports() {
        long uptimeMs = mScheduler.now(MILLISECONDS) - 100_000;
        for (int i = 0; i < mAgents.size(); i++) {
            AgentFixture agent = mAgents.get(i);
            int inFlight = mInFlight[i % TARGETS];
            LoadSignal load =
                    new LoadSignal(Math.min(8, inFlight), Math.max(0, inFlight - 8), 100_000);
            mScheduler.scheduleDirect(
                    () -> agent.report(TargetState.READY, load, uptimeMs), 1_000, MILLISECONDS);
        }
    }

    private void request() {
        PowerOfTwoSelector selector = mSelectors.get(mRandom.nextInt(ENTRIES));
        Optional<TargetReservation> reservation = selector.reserve(SERVICE, target -> true);
        if (reservation.isEmpty()) {
            return;
        }
        int target = (int) reservation.get().target().instance().value();
        mInFlight[target]++;
        long holdMs = 50L + mRandom.nextInt(HOLD_MS);
        mScheduler.scheduleDirect(
                () -> {
                    mInFlight[target]--;
                    reservation.get().release(ResultCode.OK, Optional.empty(), holdMs * 1_000);
                },
                holdMs,
                MILLISECONDS);
    }

    private int overloadedTargets() {
        return (int) Arrays.stream(mInFlight).filter(count -> count > 12).count();
    }

    private static void assertBalanced(double[] sums) {
        double mean = Arrays.stream(sums).average().orElseThrow();
        for (double sum : sums) {
            assertThat(sum / mean).isBetween(0.6, 1.5);
        }
    }
}
