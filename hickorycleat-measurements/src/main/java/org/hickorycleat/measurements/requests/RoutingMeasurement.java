package org.hickorycleat.measurements.requests;

import static java.util.concurrent.TimeUnit.MICROSECONDS;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;
import org.HdrHistogram.Histogram;
import org.hickorycleat.logic.routing.LeastConnectionsSelector;
import org.hickorycleat.logic.routing.PowerOfTwoSelector;
import org.hickorycleat.logic.routing.RoundRobinSelector;
import org.hickorycleat.logic.routing.RoutingSettings;
import org.hickorycleat.logic.routing.TargetReservation;
import org.hickorycleat.logic.routing.TargetSelector;
import org.hickorycleat.measurements.Figures;
import org.hickorycleat.measurements.Measurement;
import org.hickorycleat.measurements.Median;
import org.hickorycleat.measurements.requests.TargetFake.Behaviour;
import org.hickorycleat.model.result.ResultCode;

/**
 * Measures latency and error rate with one target that is ten times slower, one that fails every
 * request and one that is paused.
 *
 * <p>Requests are not retried. A request without a response counts as an error. {@code p99_all_ms}
 * covers all requests, failed ones with the time that the caller waited.
 */
public final class RoutingMeasurement implements Measurement {
    private static final long WARM_UP_MS = 5_000;
    private static final long RUN_MS = 30_000;
    private static final double[] LOADS = {0.3, 0.5, 0.6};

    @FunctionalInterface
    private interface SelectorFactory {
        TargetSelector create(FleetFake fleet, long seed);
    }

    private record Policy(String name, SelectorFactory factory) {}

    private static final List<Policy> POLICIES =
            List.of(
                    new Policy("power-of-two", RoutingMeasurement::powerOfTwo),
                    new Policy(
                            "round-robin",
                            (fleet, seed) -> new RoundRobinSelector(fleet.mDirectory)),
                    new Policy(
                            "least-connections",
                            (fleet, seed) -> new LeastConnectionsSelector(fleet.mDirectory, seed)));

    private record Run(double p50Ms, double p99Ms, double p99AllMs, double errorRate) {}

    @Override
    public void run(List<Long> seeds, Consumer<Figures> output) {
        for (double load : LOADS) {
            for (Policy policy : POLICIES) {
                print("healthy", load, policy, seeds, false, output);
                print("faulty", load, policy, seeds, true, output);
            }
        }
    }

    private static void print(
            String fleet,
            double load,
            Policy policy,
            List<Long> seeds,
            boolean faulty,
            Consumer<Figures> output) {
        List<Run> runs = new ArrayList<>();
        for (long seed : seeds) {
            runs.add(new Simulation(policy, seed).run(load, faulty));
        }
        output.accept(
                new Figures()
                        .with("measurement", "routing-decision")
                        .with("fleet", fleet)
                        .with("load", load)
                        .with("policy", policy.name())
                        .with("seeds", seeds.size())
                        .with("p50_ms", Median.of(runs, Run::p50Ms))
                        .with("p99_ms", Median.of(runs, Run::p99Ms))
                        .with("p99_all_ms", Median.of(runs, Run::p99AllMs))
                        .with("error_rate", Median.of(runs, Run::errorRate)));
    }

    private static TargetSelector powerOfTwo(FleetFake fleet, long seed) {
        return new PowerOfTwoSelector(
                fleet.mDirectory, FleetFake.ENTRY_ZONE, RoutingSettings.DEFAULT, seed);
    }

    /** Simulates one run of one policy. */
    private static final class Simulation {
        private final FleetFake mFleet;
        private final TargetSelector mSelector;
        private final Histogram mSucceededLatency = new Histogram(10_000_000, 3);
        private final Histogram mAllLatency = new Histogram(10_000_000, 3);
        private long mErrors;
        private boolean mMeasuring;

        Simulation(Policy policy, long seed) {
            mFleet = new FleetFake(seed);
            mSelector = policy.factory().create(mFleet, seed);
        }

        Run run(double load, boolean faulty) {
            mFleet.startArrivals(load * FleetFake.capacityPerSecond(), this::request);
            mFleet.run(WARM_UP_MS);
            if (faulty) {
                mFleet.target(1).setBehaviour(Behaviour.SLOW);
                mFleet.target(2).setBehaviour(Behaviour.FAILING);
                mFleet.target(4).setBehaviour(Behaviour.PAUSED);
            }
            mMeasuring = true;
            mFleet.run(RUN_MS);
            return new Run(
                    mSucceededLatency.getValueAtPercentile(50) / 1_000.0,
                    mSucceededLatency.getValueAtPercentile(99) / 1_000.0,
                    mAllLatency.getValueAtPercentile(99) / 1_000.0,
                    (double) mErrors / mAllLatency.getTotalCount());
        }

        private void request() {
            Optional<TargetReservation> reservation =
                    mSelector.reserve(FleetFake.SERVICE, target -> true);
            boolean counted = mMeasuring;
            long startMicros = nowMicros();
            if (reservation.isEmpty()) {
                record(counted, ResultCode.NO_TARGET, startMicros);
                return;
            }
            mFleet.invoke(reservation.get(), code -> record(counted, code, startMicros));
        }

        private void record(boolean counted, ResultCode code, long startMicros) {
            if (!counted) {
                return;
            }
            long latencyMicros = nowMicros() - startMicros;
            mAllLatency.recordValue(latencyMicros);
            if (code == ResultCode.OK) {
                mSucceededLatency.recordValue(latencyMicros);
            } else {
                mErrors++;
            }
        }

        private long nowMicros() {
            return mFleet.mScheduler.now(MICROSECONDS);
        }
    }
}
