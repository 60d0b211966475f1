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
    private static final double[] LOADS = {0.7, 0.95, 1.2};

    /** A policy and what it learns from. */
    private record Contender(PlacementPolicy policy, PlacementObserver observer) {}

    /** Returns one line for each firm, load and policy, with medians over the seeds. */
    public List<String> run(long[] seeds) {
        List<String> lines = new ArrayList<>();
        for (Firm firm : Firm.values()) {
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
        all.put("risk_declared", () -> declared(PriorityRules.DEADLINE_RISK));
        all.put("default", BatchMeasurement::whole);
        return all;
    }

    private static void addRules(Map<String, Supplier<Contender>> all) {
        all.put(
                "filling_fcfs",
                () -> filling(PriorityRules.FIRST_COME_FIRST_SERVED, GapRules.BEST_FIT));
        all.put(
                "filling_edf",
                () -> filling(PriorityRules.EARLIEST_DEADLINE_FIRST, GapRules.BEST_FIT));
        all.put("filling_sjf", () -> filling(PriorityRules.SHORTEST_JOB_FIRST, GapRules.BEST_FIT));
        all.put(
                "filling_mttd",
                () -> filling(PriorityRules.MINIMUM_TIME_TO_DUE_DATE, GapRules.BEST_FIT));
        all.put("filling_risk", () -> filling(PriorityRules.DEADLINE_RISK, GapRules.BEST_FIT));
        all.put(
                "filling_risk_late_last",
                () -> filling(PriorityRules.DEADLINE_RISK_LATE_LAST, GapRules.BEST_FIT));
    }

    private static void addReservations(Map<String, Supplier<Contender>> all) {
        for (PriorityRule rule :
                List.of(
                        PriorityRules.EARLIEST_DEADLINE_FIRST,
                        PriorityRules.DEADLINE_RISK,
                        PriorityRules.RISK_AND_SIZE,
                        PriorityRules.APPARENT_TARDINESS_COST)) {
            String name =
                    rule == PriorityRules.DEADLINE_RISK
                            ? "risk"
                            : rule == PriorityRules.RISK_AND_SIZE
                                    ? "ras"
                                    : rule == PriorityRules.APPARENT_TARDINESS_COST ? "atc" : "edf";
            for (long afterMs : new long[] {0, 600_000, 3_600_000, Long.MAX_VALUE / 4}) {
                all.put(
                        name + "_reserve_" + afterMs / 60_000,
                        () -> filling(rule, GapRules.BEST_FIT, afterMs));
            }
        }
    }

    private static void addGaps(Map<String, Supplier<Contender>> all) {
        all.put(
                "risk_late_last_earliest_gap",
                () -> filling(PriorityRules.DEADLINE_RISK_LATE_LAST, GapRules.EARLIEST_GAP));
        all.put(
                "risk_late_last_biggest_hole",
                () -> filling(PriorityRules.DEADLINE_RISK_LATE_LAST, GapRules.BIGGEST_HOLE));
    }

    private static Contender baseline(PriorityRule rule, OrderedFirstFit.WhenBlocked blocked) {
        return new Contender(new OrderedFirstFit(rule, blocked), new IgnoringObserver());
    }

    private static Contender declared(PriorityRule rule) {
        PlacementPolicy policy =
                DefaultPlacementPolicy.builder()
                        .priorityRule(rule)
                        .estimator(RunTimeEstimator.DECLARED)
                        .build();
        return new Contender(policy, new IgnoringObserver());
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
                        .settings(PlacementSettings.DEFAULT.withReserveAfterMs(reserveAfterMs))
                        .estimator(correction)
                        .build();
        return new Contender(policy, new CorrectionObserver(correction));
    }

    private static Contender whole() {
        SchedulingPolicy policy = new SchedulingPolicy(JobNaming.BEFORE_LAST_SLASH);
        return new Contender(policy, policy);
    }

    private static String line(
            Firm firm, double load, String name, Supplier<Contender> maker, long[] seeds) {
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

    private static FleetResult runOnce(Firm firm, double load, Contender contender, long seed) {
        FleetLoop loop = new FleetLoop(contender.policy, contender.observer, TICK_MS);
        loop.addWorkers(firm.workers());
        loop.addWork(new BatchWorkload(firm, load, seed).work());
        return loop.run(BatchWorkload.NIGHTS * BatchWorkload.NIGHT_MS + 3_600_000);
    }
}
