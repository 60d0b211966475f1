package org.hickorycleat.measurements.requests;

import static java.util.concurrent.TimeUnit.MICROSECONDS;

import java.util.ArrayList;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.function.Consumer;
import java.util.function.Function;
import org.HdrHistogram.Histogram;
import org.hickorycleat.logic.admission.Admission;
import org.hickorycleat.logic.admission.AdmissionControl;
import org.hickorycleat.logic.admission.AdmissionSettings;
import org.hickorycleat.logic.admission.DirectoryCapacitySource;
import org.hickorycleat.logic.admission.FairAdmissionControl;
import org.hickorycleat.logic.admission.UnlimitedAdmission;
import org.hickorycleat.logic.routing.PowerOfTwoSelector;
import org.hickorycleat.logic.routing.RoutingSettings;
import org.hickorycleat.logic.routing.TargetReservation;
import org.hickorycleat.measurements.Figures;
import org.hickorycleat.measurements.Measurement;
import org.hickorycleat.measurements.Median;
import org.hickorycleat.model.identifier.TeamName;
import org.hickorycleat.model.manifest.Criticality;
import org.hickorycleat.model.result.ResultCode;

/**
 * Measures a flood of one class at 10 times capacity while every other class offers 80% of its
 * share.
 *
 * <p>{@code kept} is the share of the other classes' requests that succeed, {@code p99_unloaded}
 * the ratio of their p99 to that at a tenth of their load, {@code p99_without_flood} the ratio to
 * that of the same load without the flood, {@code refusal_us} the wall-clock time of a rejection.
 */
public final class AdmissionMeasurement implements Measurement {
    private static final long WARM_UP_MS = 3_000;
    private static final long RUN_MS = 8_000;
    private static final double FLOOD_FACTOR = 10;
    private static final double OTHERS_SHARE = 0.8;

    private record Run(double p99Ms, double kept, double goodput, double rejectionMicros) {}

    private record Comparison(Run unloaded, Run withoutFlood, Run flood) {}

    @Override
    public void run(List<Long> seeds, Consumer<Figures> output) {
        for (Criticality floodingClass : Criticality.values()) {
            print("fair-shares", floodingClass, seeds, this::fair, output);
            print("none", floodingClass, seeds, (fleet, selector, seed) -> none(), output);
        }
    }

    @FunctionalInterface
    private interface ControlFactory {
        AdmissionControl create(FleetFake fleet, PowerOfTwoSelector selector, long seed);
    }

    private AdmissionControl fair(FleetFake fleet, PowerOfTwoSelector selector, long seed) {
        return new FairAdmissionControl(
                new DirectoryCapacitySource(
                        fleet.mDirectory, target -> !selector.isEjected(target)),
                fleet.mScheduler,
                AdmissionSettings.DEFAULT,
                seed);
    }

    private static AdmissionControl none() {
        return new UnlimitedAdmission();
    }

    private static void print(
            String policy,
            Criticality floodingClass,
            List<Long> seeds,
            ControlFactory factory,
            Consumer<Figures> output) {
        List<Comparison> runs = new ArrayList<>();
        for (long seed : seeds) {
            runs.add(
                    new Comparison(
                            new Simulation(factory, seed, floodingClass).run(0, 0.1 * OTHERS_SHARE),
                            new Simulation(factory, seed, floodingClass).run(0, OTHERS_SHARE),
                            new Simulation(factory, seed, floodingClass)
                                    .run(FLOOD_FACTOR, OTHERS_SHARE)));
        }
        output.accept(
                new Figures()
                        .with("measurement", "admission-decision")
                        .with("flooding", floodingClass.wireName())
                        .with("policy", policy)
                        .with("seeds", seeds.size())
                        .with("p99_ms", Median.of(runs, run -> run.flood().p99Ms()))
                        .with("p99_unloaded", ratio(runs, Comparison::unloaded))
                        .with("p99_without_flood", ratio(runs, Comparison::withoutFlood))
                        .with("kept", Median.of(runs, run -> run.flood().kept()))
                        .with("goodput", Median.of(runs, run -> run.flood().goodput()))
                        .with("refusal_us", Median.of(runs, run -> run.flood().rejectionMicros())));
    }

    private static double ratio(List<Comparison> runs, Function<Comparison, Run> reference) {
        return Median.of(runs, run -> run.flood().p99Ms() / reference.apply(run).p99Ms());
    }

    /** Simulates one run of one policy. */
    private static final class Simulation {
        private static final TeamName TEAM = new TeamName("any");

        private final FleetFake mFleet;
        private final PowerOfTwoSelector mSelector;
        private final AdmissionControl mControl;
        private final Criticality mFloodingClass;
        private final Histogram mOthersLatency = new Histogram(10_000_000, 3);
        private final Histogram mRejectionNanos = new Histogram(10_000_000_000L, 2);
        private final Map<Criticality, Long> mOffered = new EnumMap<>(Criticality.class);
        private final Map<Criticality, Long> mCompleted = new EnumMap<>(Criticality.class);
        private boolean mMeasuring;

        Simulation(ControlFactory factory, long seed, Criticality floodingClass) {
            mFleet = new FleetFake(seed);
            mSelector =
                    new PowerOfTwoSelector(
                            mFleet.mDirectory, FleetFake.ENTRY_ZONE, RoutingSettings.DEFAULT, seed);
            mControl = factory.create(mFleet, mSelector, seed);
            mFloodingClass = floodingClass;
            for (Criticality criticality : Criticality.values()) {
                mOffered.put(criticality, 0L);
                mCompleted.put(criticality, 0L);
            }
        }

        Run run(double flood, double othersShare) {
            for (Criticality criticality : Criticality.values()) {
                double share = othersShare * AdmissionSettings.DEFAULT.share(criticality);
                double load = criticality == mFloodingClass ? flood : share;
                if (load > 0) {
                    mFleet.startArrivals(
                            load * FleetFake.capacityPerSecond(), () -> request(criticality));
                }
            }
            mFleet.run(WARM_UP_MS);
            mMeasuring = true;
            mFleet.run(RUN_MS);
            mMeasuring = false;
            long completed = sum(mCompleted, mFloodingClass) + count(mCompleted, mFloodingClass);
            return new Run(
                    mOthersLatency.getValueAtPercentile(99) / 1_000.0,
                    (double) sum(mCompleted, mFloodingClass) / sum(mOffered, mFloodingClass),
                    completed / (FleetFake.capacityPerSecond() * RUN_MS / 1_000),
                    mRejectionNanos.getValueAtPercentile(50) / 1_000.0);
        }

        private void request(Criticality criticality) {
            if (mMeasuring) {
                mOffered.merge(criticality, 1L, Long::sum);
            }
            long startNanos = System.nanoTime();
            Admission admission =
                    mControl.admit(
                            FleetFake.SERVICE,
                            criticality,
                            TEAM,
                            FleetFake.DEADLINE_MICROS / 1_000);
            if (!(admission instanceof Admission.Admitted admitted)) {
                mRejectionNanos.recordValue(System.nanoTime() - startNanos);
                return;
            }
            Optional<TargetReservation> reservation =
                    mSelector.reserve(FleetFake.SERVICE, target -> true);
            if (reservation.isEmpty()) {
                admitted.permit().close();
                return;
            }
            long startMicros = mFleet.mScheduler.now(MICROSECONDS);
            mFleet.invoke(
                    reservation.get(),
                    code -> {
                        admitted.permit().close();
                        record(criticality, code, startMicros);
                    });
        }

        /** Counts at the time of the response, so that the rate is that of a steady state. */
        private void record(Criticality criticality, ResultCode code, long startMicros) {
            if (!mMeasuring || code != ResultCode.OK) {
                return;
            }
            mCompleted.merge(criticality, 1L, Long::sum);
            if (criticality != mFloodingClass) {
                mOthersLatency.recordValue(mFleet.mScheduler.now(MICROSECONDS) - startMicros);
            }
        }

        private static long count(Map<Criticality, Long> counts, Criticality criticality) {
            return Objects.requireNonNull(counts.get(criticality));
        }

        private static long sum(Map<Criticality, Long> counts, Criticality except) {
            return counts.values().stream().mapToLong(Long::longValue).sum()
                    - count(counts, except);
        }
    }
}
