package org.hickorycleat.logic.routing;

import static java.util.concurrent.TimeUnit.MILLISECONDS;

import io.reactivex.rxjava3.schedulers.TestScheduler;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Deque;
import java.util.List;
import java.util.Optional;
import java.util.function.IntFunction;
import org.hickorycleat.logic.membership.AgentFixture;
import org.hickorycleat.logic.membership.TargetDirectory;
import org.hickorycleat.model.identifier.ZoneId;
import org.hickorycleat.model.result.ResultCode;

/** Targets in zones {@code a} and {@code b} and a selector in zone {@code a}. */
final class RoutingFixture {
    static final long USUAL_MICROS = 10_000;

    final TestScheduler mScheduler = new TestScheduler(100_000, MILLISECONDS);
    final TargetDirectory mDirectory = new TargetDirectory(mScheduler);
    final List<AgentFixture> mAgents = new ArrayList<>();
    final PowerOfTwoSelector mSelector =
            new PowerOfTwoSelector(mDirectory, new ZoneId("a"), RoutingSettings.DEFAULT, 7);

    /** Adds one target in each given zone and advances past their slow start. */
    RoutingFixture(String... zones) {
        for (String zone : zones) {
            AgentFixture agent = new AgentFixture(mDirectory, mAgents.size(), zone);
            mAgents.add(agent);
            agent.connect();
        }
        reportAll();
        advanceWithReports(20_000);
    }

    static RoutingFixture inOneZone(int targets) {
        String[] zones = new String[targets];
        Arrays.fill(zones, "a");
        return new RoutingFixture(zones);
    }

    Optional<TargetReservation> reserve() {
        return mSelector.reserve(AgentFixture.SERVICE, target -> true);
    }

    int numberOf(TargetReservation reservation) {
        return (int) reservation.target().instance().value();
    }

    boolean isEjected(int target) {
        return mSelector.isEjected(mAgents.get(target).address());
    }

    int inFlight(int target) {
        return mSelector.status(AgentFixture.SERVICE).stream()
                .filter(status -> status.target().equals(mAgents.get(target).address()))
                .mapToInt(RouteStatus::inFlight)
                .findFirst()
                .orElse(0);
    }

    void reportAll() {
        mAgents.forEach(AgentFixture::report);
    }

    void advance(long milliseconds) {
        mScheduler.advanceTimeBy(milliseconds, MILLISECONDS);
    }

    /** Advances the clock while every agent sends a report each second. */
    void advanceWithReports(long milliseconds) {
        for (long passed = 0; passed < milliseconds; passed += 1_000) {
            advance(Math.min(1_000, milliseconds - passed));
            reportAll();
        }
    }

    /**
     * Starts a request every 2 ms with five outstanding per target; result code and latency depend
     * on the target.
     */
    int[] run(int requests, IntFunction<ResultCode> code, long... latencies) {
        int[] taken = new int[mAgents.size()];
        Deque<TargetReservation> outstanding = new ArrayDeque<>();
        for (int i = 0; i < requests; i++) {
            reserve().ifPresent(outstanding::add);
            advance(2);
            if (i % 200 == 0) {
                reportAll();
            }
            if (outstanding.size() > 5 * taken.length) {
                release(outstanding.remove(), code, latencies, taken);
            }
        }
        outstanding.forEach(reservation -> release(reservation, code, latencies, taken));
        return taken;
    }

    private void release(
            TargetReservation reservation,
            IntFunction<ResultCode> code,
            long[] latencies,
            int[] taken) {
        int target = numberOf(reservation);
        taken[target]++;
        long latency = latencies[Math.min(target, latencies.length - 1)];
        reservation.release(code.apply(target), Optional.empty(), latency);
    }
}
