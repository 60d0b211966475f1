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
import java.util.function.IntPredicate;
import java.util.stream.IntStream;
import org.hickorycleat.logic.membership.AgentFixture;
import org.hickorycleat.logic.membership.TargetDirectory;
import org.hickorycleat.model.identifier.ZoneId;
import org.hickorycleat.model.message.LoadSignal;
import org.hickorycleat.model.message.TargetState;
import org.hickorycleat.model.result.ResultCode;
import org.junit.jupiter.api.Test;

/**
 * Simulates entries that receive the load of targets only from reports that arrive a second late.
 */
class HerdingTest {
    private static final int ENTRIES = 4;
    private static final int TARGETS = 11;

    /** Mean and spread of the service times, which are uniform between 50 and 150 ms. */
    private static final int SERVICE_TIME_MS = 100;

    private static final int RUN_MS = 15_000;
    private static final int WARM_UP_MS = 3_000;

    /** Keeps 5.5 of 8 slots of each target in use on average. */
    private static final double REQUESTS_PER_MS = 5.5 * TARGETS / SERVICE_TIME_MS;

    /** Reports of a burst that are a second late arrive 10 ms before a later burst. */
    private static final int BURST_PERIOD_MS = 580;

    private static final int BURST_MS = 150;
    private static final int BURSTS = 100;

    /** Keeps 4 of 8 slots of each target in use during a burst. */
    private static final double BURST_REQUESTS_PER_MS = 4.0 * TARGETS / SERVICE_TIME_MS;

    private final TestScheduler mScheduler = new TestScheduler(100_000, MILLISECONDS);
    private final SplittableRandom mRandom = new SplittableRandom(5);
    private final List<PowerOfTwoSelector> mSelectors = new ArrayList<>();
    private final List<AgentFixture> mAgents = new ArrayList<>();
    private final int[] mInFlight = new int[TARGETS];

    private final int[] mRequests = new int[TARGETS];

    private void createEntries(int entries) {
        for (int entry = 0; entry < entries; entry++) {
            TargetDirectory directory = new TargetDirectory(mScheduler);
            directory.setLiveEntries(entries);
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
     * Guards against all entries choosing the same targets because old reports show them as idle:
     * the load of each target must stay near the mean over every second.
     */
    @Test
    void lateReportsCauseNeitherHerdingNorOscillation() {
        createEntries(ENTRIES);
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

    /**
     * Guards against an entry that counts its own ended requests as load from other entries.
     * Targets with an even number report at the end of each burst, the others between bursts; both
     * kinds of report arrive between bursts, when the entry has no requests in flight.
     */
    @Test
    void lateReportsOfOwnBurstsDoNotMoveTheNextBurst() {
        createEntries(1);
        for (int ms = 0; ms < BURSTS * BURST_PERIOD_MS; ms++) {
            int phaseMs = ms % BURST_PERIOD_MS;
            if (phaseMs == BURST_MS) {
                sendLateReports(target -> target % 2 == 0);
            } else if (phaseMs == BURST_PERIOD_MS - 100) {
                sendLateReports(target -> target % 2 == 1);
            }
            if (phaseMs < BURST_MS) {
                arrive(BURST_REQUESTS_PER_MS);
            }
            mScheduler.advanceTimeBy(1, MILLISECONDS);
        }
        assertThat(meanRequests(0) / meanRequests(1))
                .as("requests of even to odd targets, of %s", Arrays.toString(mRequests))
                .isBetween(0.95, 1.05);
    }

    private double meanRequests(int remainder) {
        return IntStream.range(0, TARGETS)
                .filter(target -> target % 2 == remainder)
                .map(target -> mRequests[target])
                .average()
                .orElseThrow();
    }

    private void step(int ms) {
        if (ms % 1_000 == 0) {
            sendLateReports(target -> true);
        }
        arrive(REQUESTS_PER_MS);
        mScheduler.advanceTimeBy(1, MILLISECONDS);
    }

    private void arrive(double requestsPerMs) {
        int arrivals = (int) requestsPerMs;
        if (mRandom.nextDouble() < requestsPerMs - arrivals) {
            arrivals++;
        }
        for (int i = 0; i < arrivals; i++) {
            request();
        }
    }

    private void sendLateReports(IntPredicate reporting) {
        long uptimeMs = mScheduler.now(MILLISECONDS) - 100_000;
        for (int i = 0; i < mAgents.size(); i++) {
            if (!reporting.test(i % TARGETS)) {
                continue;
            }
            AgentFixture agent = mAgents.get(i);
            int inFlight = mInFlight[i % TARGETS];
            LoadSignal load =
                    new LoadSignal(Math.min(8, inFlight), Math.max(0, inFlight - 8), 100_000);
            mScheduler.scheduleDirect(
                    () -> agent.report(TargetState.READY, load, uptimeMs), 1_000, MILLISECONDS);
        }
    }

    private void request() {
        PowerOfTwoSelector selector = mSelectors.get(mRandom.nextInt(mSelectors.size()));
        Optional<TargetReservation> reservation = selector.reserve(SERVICE, target -> true);
        if (reservation.isEmpty()) {
            return;
        }
        int target = (int) reservation.get().target().instance().value();
        mRequests[target]++;
        mInFlight[target]++;
        long serviceTimeMs = 50L + mRandom.nextInt(SERVICE_TIME_MS);
        mScheduler.scheduleDirect(
                () -> {
                    mInFlight[target]--;
                    reservation
                            .get()
                            .release(ResultCode.OK, Optional.empty(), serviceTimeMs * 1_000);
                },
                serviceTimeMs,
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
