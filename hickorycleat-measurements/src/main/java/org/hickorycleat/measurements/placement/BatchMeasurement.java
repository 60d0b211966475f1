package org.hickorycleat.measurements.placement;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.function.Supplier;
import java.util.stream.LongStream;
import org.hickorycleat.logic.batch.GapRule;
import org.hickorycleat.logic.batch.GapRules;
import org.hickorycleat.logic.batch.JobNaming;
import org.hickorycleat.logic.batch.PriorityRule;
import org.hickorycleat.logic.batch.PriorityRules;
import org.hickorycleat.logic.batch.RunTimeCorrection;
import org.hickorycleat.logic.batch.RunTimeEstimator;
import org.hickorycleat.logic.placement.DefaultPlacementPolicy;
import org.hickorycleat.logic.placement.PlacementPolicy;
import org.hickorycleat.logic.placement.PlacementSettings;
import org.hickorycleat.logic.scheduling.PlacementObserver;
import org.hickorycleat.logic.scheduling.SchedulingPolicy;

/** Measures deadlines, tardiness and throughput of batch work under the rules and baselines. */
public final class BatchMeasurement {
    private static final long TICK_MS = 5_000;
    private static final double[] LOADS = {0.8, 1.0};

    /** Rule for the comparison of reservations and gap rules. */
    private static final PriorityRule CHOSEN = PriorityRules.APPARENT_TARDINESS_COST;

    /** A policy and what it learns from. */
    private record Contender(PlacementPolicy policy, PlacementObserver observer) {}

    /** Returns one line for each firm, load and policy, with medians over the seeds. */
    public List<String> run(long[] seeds) {
        List<String> lines = new ArrayList<>();
        for (FleetProfile firm : FleetProfile.values()) {
            for (double load : LOADS) {
                contenders()
                        .forEach((name, maker) -> lines.add(line(firm, load, name, maker, seeds)));
            }
        }
        return lines;
    }

    private static Map<String, Supplier<Contender>> contenders() {
        Map<String, Supplier<Contender>> all = new LinkedHashMap<>();
        all.put(
                "fcfs_first_fit",
                () ->
                        baseline(
                                PriorityRules.FIRST_COME_FIRST_SERVED,
                                OrderedFirstFit.WhenBlocked.WAIT));
        all.put(
                "fcfs_first_fit_pass",
                () ->
                        baseline(
                                PriorityRules.FIRST_COME_FIRST_SERVED,
                                OrderedFirstFit.WhenBlocked.PASS));
        all.put(
                "edf_no_filling",
                () ->
                        baseline(
                                PriorityRules.EARLIEST_DEADLINE_FIRST,
                                OrderedFirstFit.WhenBlocked.WAIT));
        addRules(all);
        addReservations(all);
        addGaps(all);
        all.put("declared_run_times", () -> declared(CHOSEN));
        all.put("default", BatchMeasurement::whole);
        return all;
    }

    private static void addRules(Map<String, Supplier<Contender>> all) {
        rules().forEach((name, rule) -> all.put(name, () -> filling(rule, GapRules.BEST_FIT)));
    }

    private static Map<String, PriorityRule> rules() {
        Map<String, PriorityRule> rules = new LinkedHashMap<>();
        rules.put("filling_fcfs", PriorityRules.FIRST_COME_FIRST_SERVED);
        rules.put("filling_edf", PriorityRules.EARLIEST_DEADLINE_FIRST);
        rules.put("filling_sjf", PriorityRules.SHORTEST_JOB_FIRST);
        rules.put("filling_mttd", PriorityRules.MINIMUM_TIME_TO_DUE_DATE);
        rules.put("filling_risk", PriorityRules.DEADLINE_RISK);
        rules.put("filling_risk_late_last", PriorityRules.DEADLINE_RISK_LATE_LAST);
        rules.put("filling_risk_and_size", PriorityRules.DEADLINE_RISK_AND_SIZE);
        rules.put("filling_atc", PriorityRules.APPARENT_TARDINESS_COST);
        return rules;
    }

    private static void addReservations(Map<String, Supplier<Contender>> all) {
        for (long afterMs : new long[] {600_000, 3_600_000, Long.MAX_VALUE / 4}) {
            String after = afterMs > 3_600_000 ? "never" : afterMs / 60_000 + "_min";
            all.put("reserve_" + after, () -> filling(CHOSEN, GapRules.BEST_FIT, afterMs));
        }
    }

    private static void addGaps(Map<String, Supplier<Contender>> all) {
        all.put("earliest_gap", () -> filling(CHOSEN, GapRules.EARLIEST_GAP));
        all.put("biggest_hole", () -> filling(CHOSEN, GapRules.WORST_FIT));
    }

    private static Contender baseline(PriorityRule rule, OrderedFirstFit.WhenBlocked blocked) {
        return new Contender(new OrderedFirstFit(rule, blocked), new NoOpPlacementObserver());
    }

    private static Contender declared(PriorityRule rule) {
        PlacementPolicy policy =
                DefaultPlacementPolicy.builder()
                        .priorityRule(rule)
                        .estimator(RunTimeEstimator.DECLARED)
                        .build();
        return new Contender(policy, new NoOpPlacementObserver());
    }

    private static Contender filling(PriorityRule rule, GapRule gaps) {
        return filling(rule, gaps, 0);
    }

    private static Contender filling(PriorityRule rule, GapRule gaps, long reserveAfterMs) {
        RunTimeCorrection correction = new RunTimeCorrection(JobNaming.BEFORE_LAST_SLASH);
        PlacementPolicy policy =
                DefaultPlacementPolicy.builder()
                        .priorityRule(rule)
                        .gapRule(gaps)
                        .settings(PlacementSettings.DEFAULT.withReservationDelayMs(reserveAfterMs))
                        .estimator(correction)
                        .build();
        return new Contender(policy, new RunTimeCorrectionObserver(correction));
    }

    private static Contender whole() {
        SchedulingPolicy policy = new SchedulingPolicy(JobNaming.BEFORE_LAST_SLASH);
        return new Contender(policy, policy);
    }

    private static String line(
            FleetProfile firm, double load, String name, Supplier<Contender> maker, long[] seeds) {
        List<FleetResult> results =
                LongStream.of(seeds)
                        .parallel()
                        .mapToObj(seed -> runOnce(firm, load, maker.get(), seed))
                        .toList();
        return String.format(
                Locale.ROOT,
                "measurement=batch firm=%s load=%.2f policy=%s seeds=%d on_time=%.4f"
                        + " tardiness_hours=%.2f core_hours=%.0f evictions=%.0f lost_hours=%.2f"
                        + " unfinished=%.0f",
                firm.name().toLowerCase(Locale.ROOT),
                load,
                name,
                seeds.length,
                Medians.over(results, FleetResult::onTimeShare),
                Medians.over(results, result -> result.mTardinessMs / 3_600_000.0),
                Medians.over(results, FleetResult::coreHours),
                Medians.over(results, result -> result.mEvictions),
                Medians.over(results, result -> result.mLostMs / 3_600_000.0),
                Medians.over(results, result -> result.mUnfinished));
    }

    private static FleetResult runOnce(
            FleetProfile firm, double load, Contender contender, long seed) {
        FleetSimulation loop = new FleetSimulation(contender.policy, contender.observer, TICK_MS);
        loop.addWorkers(firm.workers());
        loop.addWork(new BatchWorkload(firm, load, seed).work());
        return loop.run(BatchWorkload.NIGHTS * BatchWorkload.NIGHT_MS + 3_600_000);
    }
}
