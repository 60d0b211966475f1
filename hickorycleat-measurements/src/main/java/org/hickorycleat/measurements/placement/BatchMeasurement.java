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

/** Measures on-time share, tardiness and throughput of batch work for each policy and baseline. */
public final class BatchMeasurement {
    private static final long TICK_MS = 5_000;
    private static final double[] LOADS = {0.8, 1.0};

    /** Priority rule with which reservation delays and gap rules are compared. */
    private static final PriorityRule REFERENCE_RULE = PriorityRules.APPARENT_TARDINESS_COST;

    /** A policy and the observer that feeds its estimates. */
    private record PolicyUnderTest(PlacementPolicy policy, PlacementObserver observer) {}

    /** Returns one line for each fleet profile, load and policy, with medians over the seeds. */
    public List<String> run(long[] seeds) {
        List<String> lines = new ArrayList<>();
        for (FleetProfile profile : FleetProfile.values()) {
            for (double load : LOADS) {
                policies()
                        .forEach(
                                (name, factory) ->
                                        lines.add(line(profile, load, name, factory, seeds)));
            }
        }
        return lines;
    }

    private static Map<String, Supplier<PolicyUnderTest>> policies() {
        Map<String, Supplier<PolicyUnderTest>> policies = new LinkedHashMap<>();
        policies.put(
                "fcfs_first_fit",
                () ->
                        baseline(
                                PriorityRules.FIRST_COME_FIRST_SERVED,
                                OrderedFirstFit.BlockedQueueRule.WAIT));
        policies.put(
                "fcfs_first_fit_pass",
                () ->
                        baseline(
                                PriorityRules.FIRST_COME_FIRST_SERVED,
                                OrderedFirstFit.BlockedQueueRule.PASS));
        policies.put(
                "edf_no_filling",
                () ->
                        baseline(
                                PriorityRules.EARLIEST_DEADLINE_FIRST,
                                OrderedFirstFit.BlockedQueueRule.WAIT));
        addPriorityRules(policies);
        addReservations(policies);
        addGapRules(policies);
        policies.put("declared_run_times", () -> withDeclaredRunTimes(REFERENCE_RULE));
        policies.put("default", BatchMeasurement::defaultPolicy);
        return policies;
    }

    private static void addPriorityRules(Map<String, Supplier<PolicyUnderTest>> policies) {
        priorityRules()
                .forEach(
                        (name, rule) ->
                                policies.put(name, () -> backfilling(rule, GapRules.BEST_FIT)));
    }

    private static Map<String, PriorityRule> priorityRules() {
        Map<String, PriorityRule> priorityRules = new LinkedHashMap<>();
        priorityRules.put("filling_fcfs", PriorityRules.FIRST_COME_FIRST_SERVED);
        priorityRules.put("filling_edf", PriorityRules.EARLIEST_DEADLINE_FIRST);
        priorityRules.put("filling_sjf", PriorityRules.SHORTEST_JOB_FIRST);
        priorityRules.put("filling_mttd", PriorityRules.MINIMUM_TIME_TO_DUE_DATE);
        priorityRules.put("filling_risk", PriorityRules.DEADLINE_RISK);
        priorityRules.put("filling_risk_late_last", PriorityRules.DEADLINE_RISK_LATE_LAST);
        priorityRules.put("filling_risk_and_size", PriorityRules.DEADLINE_RISK_AND_SIZE);
        priorityRules.put("filling_atc", PriorityRules.APPARENT_TARDINESS_COST);
        return priorityRules;
    }

    private static void addReservations(Map<String, Supplier<PolicyUnderTest>> policies) {
        for (long delayMs : new long[] {600_000, 3_600_000, Long.MAX_VALUE / 4}) {
            String delay = delayMs > 3_600_000 ? "never" : delayMs / 60_000 + "_min";
            policies.put(
                    "reserve_" + delay,
                    () -> backfilling(REFERENCE_RULE, GapRules.BEST_FIT, delayMs));
        }
    }

    private static void addGapRules(Map<String, Supplier<PolicyUnderTest>> policies) {
        policies.put("earliest_gap", () -> backfilling(REFERENCE_RULE, GapRules.EARLIEST_GAP));
        policies.put("biggest_hole", () -> backfilling(REFERENCE_RULE, GapRules.WORST_FIT));
    }

    private static PolicyUnderTest baseline(
            PriorityRule rule, OrderedFirstFit.BlockedQueueRule blockedQueueRule) {
        return new PolicyUnderTest(
                new OrderedFirstFit(rule, blockedQueueRule), new NoOpPlacementObserver());
    }

    private static PolicyUnderTest withDeclaredRunTimes(PriorityRule rule) {
        PlacementPolicy policy =
                DefaultPlacementPolicy.builder()
                        .priorityRule(rule)
                        .estimator(RunTimeEstimator.DECLARED)
                        .build();
        return new PolicyUnderTest(policy, new NoOpPlacementObserver());
    }

    private static PolicyUnderTest backfilling(PriorityRule rule, GapRule gapRule) {
        return backfilling(rule, gapRule, 0);
    }

    private static PolicyUnderTest backfilling(
            PriorityRule rule, GapRule gapRule, long reservationDelayMs) {
        RunTimeCorrection correction = new RunTimeCorrection(JobNaming.BEFORE_LAST_SLASH);
        PlacementPolicy policy =
                DefaultPlacementPolicy.builder()
                        .priorityRule(rule)
                        .gapRule(gapRule)
                        .settings(
                                PlacementSettings.DEFAULT.withReservationDelayMs(
                                        reservationDelayMs))
                        .estimator(correction)
                        .build();
        return new PolicyUnderTest(policy, new RunTimeCorrectionObserver(correction));
    }

    private static PolicyUnderTest defaultPolicy() {
        SchedulingPolicy policy = new SchedulingPolicy(JobNaming.BEFORE_LAST_SLASH);
        return new PolicyUnderTest(policy, policy);
    }

    private static String line(
            FleetProfile profile,
            double load,
            String name,
            Supplier<PolicyUnderTest> factory,
            long[] seeds) {
        List<FleetResult> results =
                LongStream.of(seeds)
                        .parallel()
                        .mapToObj(seed -> runOnce(profile, load, factory.get(), seed))
                        .toList();
        return String.format(
                Locale.ROOT,
                "measurement=batch firm=%s load=%.2f policy=%s seeds=%d on_time=%.4f"
                        + " tardiness_hours=%.2f core_hours=%.0f evictions=%.0f lost_hours=%.2f"
                        + " unfinished=%.0f",
                profile.name().toLowerCase(Locale.ROOT),
                load,
                name,
                seeds.length,
                Quantiles.medianOf(results, FleetResult::onTimeShare),
                Quantiles.medianOf(results, result -> result.mTardinessMs / 3_600_000.0),
                Quantiles.medianOf(results, FleetResult::coreHours),
                Quantiles.medianOf(results, result -> result.mEvictions),
                Quantiles.medianOf(results, result -> result.mLostProgressMs / 3_600_000.0),
                Quantiles.medianOf(results, result -> result.mUnfinished));
    }

    private static FleetResult runOnce(
            FleetProfile profile, double load, PolicyUnderTest policyUnderTest, long seed) {
        FleetSimulation simulation =
                new FleetSimulation(policyUnderTest.policy, policyUnderTest.observer, TICK_MS);
        simulation.addWorkers(profile.workers());
        simulation.addWorkload(new BatchWorkload(profile, load, seed).tasks());
        return simulation.run(BatchWorkload.NIGHTS * BatchWorkload.NIGHT_MS + 3_600_000);
    }
}
