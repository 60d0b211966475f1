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

/** Measures the time until urgent work starts on a full fleet, and what its evictions cost. */
public final class UrgentMeasurement {
    private static final long TICK_MS = 200;

    /** Returns one line for each firm and policy. */
    public List<String> run(long[] seeds) {
        List<String> lines = new ArrayList<>();
        for (FleetProfile firm : FleetProfile.values()) {
            lines.add(line(firm, "fcfs_first_fit", seeds, UrgentMeasurement::baseline));
            lines.add(line(firm, "default", seeds, UrgentMeasurement::whole));
        }
        return lines;
    }

    private record Contender(PlacementPolicy policy, PlacementObserver observer) {}

    private static Contender baseline() {
        PlacementPolicy policy =
                new OrderedFirstFit(
                        PriorityRules.FIRST_COME_FIRST_SERVED, OrderedFirstFit.WhenBlocked.PASS);
        return new Contender(policy, new NoOpPlacementObserver());
    }

    private static Contender whole() {
        SchedulingPolicy policy = new SchedulingPolicy(JobNaming.BEFORE_LAST_SLASH);
        return new Contender(policy, policy);
    }

    private static String line(
            FleetProfile firm, String name, long[] seeds, Supplier<Contender> contender) {
        List<FleetResult> results =
                LongStream.of(seeds)
                        .parallel()
                        .mapToObj(seed -> runOnce(firm, contender.get(), seed))
                        .toList();
        return String.format(
                Locale.ROOT,
                "measurement=urgent firm=%s policy=%s seeds=%d urgent=%.0f wait_p50_ms=%.0f"
                        + " wait_p99_ms=%.0f wait_max_ms=%.0f evictions=%.0f lost_hours=%.3f"
                        + " core_hours=%.0f",
                firm.name().toLowerCase(Locale.ROOT),
                name,
                seeds.length,
                Medians.over(results, result -> result.mUrgentWaitsMs.size()),
                Medians.over(results, result -> Medians.quantile(0.5, result.mUrgentWaitsMs)),
                Medians.over(results, result -> Medians.quantile(0.99, result.mUrgentWaitsMs)),
                Medians.over(results, result -> Medians.quantile(1, result.mUrgentWaitsMs)),
                Medians.over(results, result -> result.mEvictions),
                Medians.over(results, result -> result.mLostMs / 3_600_000.0),
                Medians.over(results, FleetResult::coreHours));
    }

    private static FleetResult runOnce(FleetProfile firm, Contender contender, long seed) {
        FleetSimulation loop = new FleetSimulation(contender.policy, contender.observer, TICK_MS);
        loop.addWorkers(firm.workers());
        loop.addWork(new UrgentWorkload(firm, seed).work());
        return loop.run(UrgentWorkload.DURATION_MS);
    }
}
