package org.hickorycleat.logic.dispatch;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.TreeMap;
import java.util.function.Supplier;
import org.hickorycleat.logic.places.WaitDecision;
import org.hickorycleat.logic.places.WaitPolicy;
import org.hickorycleat.model.job.StepSpecification;
import org.hickorycleat.model.job.TaskKey;
import org.hickorycleat.model.task.Resources;
import org.junit.jupiter.api.Test;

/**
 * Replays a load of short jobs of which 60% want one rack for 5.5 s, on a fleet whose processors
 * are half reserved by long-running tasks, under each policy that was weighed; prints the figures.
 */
class RackWaitReplayTest {
    private static final long[] SEEDS = {17, 18, 19};
    private static final double[] FACTORS = {1.5, 2, 3};

    /** Jobs per second; the rack has 64 processors free, and the jobs ask it for 50 and 100. */
    private static final double[] LOADS = {16, 32};

    private static final int RACKS = 6;
    private static final int WORKERS_PER_RACK = 8;
    private static final int HOT_MS = 5_500;
    private static final double HOT_SHARE = 0.6;
    private static final int ARRIVAL_STEP_MS = 50;
    private static final double STRETCH = 2;
    private static final int CONSTANT_OBJECTIVE_MS = 1_000;

    private static final WaitPolicy NONE = waiting -> WaitDecision.DOES_NOT_PAY;

    /** Waits for up to half a second, whatever the run time and the queue. */
    private static final WaitPolicy FIXED_DELAY =
            waiting ->
                    waiting.nowMs() - waiting.readySinceMs() < 500
                            ? WaitDecision.WAIT
                            : WaitDecision.LIMIT_REACHED;

    /** Skips a task in its first ten rounds, whatever their length. */
    private static WaitPolicy rounds() {
        Map<TaskKey, Integer> rounds = new HashMap<>();
        return waiting ->
                rounds.merge(waiting.task(), 1, Integer::sum) <= 10
                        ? WaitDecision.WAIT
                        : WaitDecision.LIMIT_REACHED;
    }

    /**
     * Figures of one replay.
     *
     * @param late jobs that missed their objective
     * @param sumMs sum of the times from submission to completion, in milliseconds
     * @param far starts by rack of tasks that want another one
     */
    private record Result(int jobs, long late, double sumMs, Map<String, Integer> far) {
        Result plus(Result other) {
            Map<String, Integer> starts = new TreeMap<>(far);
            other.far.forEach((rack, count) -> starts.merge(rack, count, Integer::sum));
            return new Result(jobs + other.jobs, late + other.late, sumMs + other.sumMs, starts);
        }
    }

    private static StepSpecification step(
            int count, long processorsMilli, int estimateMs, Optional<String> rack) {
        return new StepSpecification(
                count,
                new Resources(processorsMilli, 500, 0),
                estimateMs,
                List.of(),
                true,
                false,
                false,
                Optional.empty(),
                rack,
                0,
                false,
                estimateMs == 0,
                "image",
                0,
                false,
                -1);
    }

    private static Result replay(
            WaitPolicy policy, double factor, double jobsPerSecond, long seed) {
        Random random = new Random(seed);
        DispatchFixture owner = new DispatchFixture(WORKERS_PER_RACK, factor, policy);
        ReplayedFleet fleet = new ReplayedFleet(RACKS * WORKERS_PER_RACK, owner, factor);
        fleet.submit("serving", step(RACKS * WORKERS_PER_RACK, 8_000, 0, Optional.empty()));
        fleet.play(1_000);
        for (int passed = 0; passed < HOT_MS; passed += ARRIVAL_STEP_MS) {
            if (random.nextDouble() < jobsPerSecond * ARRIVAL_STEP_MS / 1_000) {
                int width = 1 + random.nextInt(19);
                int estimateMs = (int) (400 * Math.exp(0.5 * random.nextGaussian()));
                Optional<String> rack =
                        random.nextDouble() < HOT_SHARE ? Optional.of("r1-2") : Optional.empty();
                fleet.submit(
                        String.format("%016x", fleet.submitted()),
                        step(width, 1_200, estimateMs, rack));
            }
            fleet.play(ARRIVAL_STEP_MS);
        }
        fleet.play(6_000);
        return new Result(
                fleet.submitted() - 1,
                fleet.lateJobs(STRETCH, CONSTANT_OBJECTIVE_MS),
                fleet.completionSumMs(),
                fleet.farStarts());
    }

    /** Returns the figures of all seeds together. */
    private static Result replay(
            String name, Supplier<WaitPolicy> policy, double factor, double jobsPerSecond) {
        Result total = new Result(0, 0, 0, Map.of());
        for (long seed : SEEDS) {
            total = total.plus(replay(policy.get(), factor, jobsPerSecond, seed));
        }
        System.out.printf(
                "factor %.1f, %.0f jobs/s, %s: %d jobs, %d late, mean %.0f ms, far %s%n",
                factor,
                jobsPerSecond,
                name,
                total.jobs(),
                total.late(),
                total.sumMs() / total.jobs(),
                total.far());
        return total;
    }

    private static Result replayAllLoads(String name, Supplier<WaitPolicy> policy) {
        Result total = new Result(0, 0, 0, Map.of());
        for (double factor : FACTORS) {
            for (double jobsPerSecond : LOADS) {
                total = total.plus(replay(name, policy, factor, jobsPerSecond));
            }
        }
        return total;
    }

    @Test
    void jobsEndEarlierThanUnderTheOtherPolicies() {
        Result none = replayAllLoads("none", () -> NONE);
        Result fixed = replayAllLoads("fixed delay", () -> FIXED_DELAY);
        Result rounds = replayAllLoads("delay by rounds", RackWaitReplayTest::rounds);
        Result expected = replayAllLoads("expected ends", WaitPolicy::expectedEnds);

        for (Result other : List.of(none, fixed, rounds)) {
            assertThat(expected.jobs()).isEqualTo(other.jobs());
            assertThat(expected.sumMs()).isLessThan(other.sumMs());
            assertThat(expected.late()).isLessThan(other.late());
        }
    }

    @Test
    void spreadsTheOverflowOverAllOtherRacks() {
        Result result = replay(WaitPolicy.expectedEnds(), 2, 32, 17);

        int overflow = result.far().values().stream().mapToInt(Integer::intValue).sum();
        assertThat(result.far()).hasSize(RACKS - 1);
        assertThat(result.far().values())
                .allSatisfy(starts -> assertThat(starts).isLessThan(overflow / 2));
    }
}
