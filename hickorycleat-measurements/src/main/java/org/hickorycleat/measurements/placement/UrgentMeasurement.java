package org.hickorycleat.measurements.placement;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.function.Supplier;
import java.util.stream.LongStream;
import org.hickorycleat.logic.batch.JobNaming;
import org.hickorycleat.logic.batch.PriorityRules;
import org.hickorycleat.logic.placement.PlacementPolicy;
import org.hickorycleat.logic.scheduling.PlacementObserver;
import org.hickorycleat.logic.scheduling.SchedulingPolicy;

/** Measures the waiting time of urgent tasks on a full fleet and the cost of their evictions. */
public final class UrgentMeasurement {
    private static final long TICK_MS = 200;

    /** Returns one line for each fleet profile and policy. */
    public List<String> run(long[] seeds) {
        List<String> lines = new ArrayList<>();
        for (FleetProfile profile : FleetProfile.values()) {
            lines.add(line(profile, "fcfs_first_fit", seeds, UrgentMeasurement::baseline));
            lines.add(line(profile, "default", seeds, UrgentMeasurement::defaultPolicy));
        }
        return lines;
    }

    private record PolicyUnderTest(PlacementPolicy policy, PlacementObserver observer) {}

    private static PolicyUnderTest baseline() {
        PlacementPolicy policy =
                new OrderedFirstFit(
                        PriorityRules.FIRST_COME_FIRST_SERVED,
                        OrderedFirstFit.BlockedQueueRule.PASS);
        return new PolicyUnderTest(policy, new NoOpPlacementObserver());
    }

    private static PolicyUnderTest defaultPolicy() {
        SchedulingPolicy policy = new SchedulingPolicy(JobNaming.BEFORE_LAST_SLASH);
        return new PolicyUnderTest(policy, policy);
    }

    private static String line(
            FleetProfile profile,
            String name,
            long[] seeds,
            Supplier<PolicyUnderTest> policyUnderTest) {
        List<FleetResult> results =
                LongStream.of(seeds)
                        .parallel()
                        .mapToObj(seed -> runOnce(profile, policyUnderTest.get(), seed))
                        .toList();
        return String.format(
                Locale.ROOT,
                "measurement=urgent firm=%s policy=%s seeds=%d urgent=%.0f wait_p50_ms=%.0f"
                        + " wait_p99_ms=%.0f wait_max_ms=%.0f evictions=%.0f lost_hours=%.3f"
                        + " core_hours=%.0f",
                profile.name().toLowerCase(Locale.ROOT),
                name,
                seeds.length,
                Quantiles.medianOf(results, result -> result.mUrgentWaitsMs.size()),
                Quantiles.medianOf(
                        results, result -> Quantiles.quantile(0.5, result.mUrgentWaitsMs)),
                Quantiles.medianOf(
                        results, result -> Quantiles.quantile(0.99, result.mUrgentWaitsMs)),
                Quantiles.medianOf(results, result -> Quantiles.quantile(1, result.mUrgentWaitsMs)),
                Quantiles.medianOf(results, result -> result.mEvictions),
                Quantiles.medianOf(results, result -> result.mLostProgressMs / 3_600_000.0),
                Quantiles.medianOf(results, FleetResult::coreHours));
    }

    private static FleetResult runOnce(
            FleetProfile profile, PolicyUnderTest policyUnderTest, long seed) {
        FleetSimulation simulation =
                new FleetSimulation(policyUnderTest.policy, policyUnderTest.observer, TICK_MS);
        simulation.addWorkers(profile.workers());
        simulation.addWorkload(new UrgentWorkload(profile, seed).tasks());
        return simulation.run(UrgentWorkload.DURATION_MS);
    }
}
