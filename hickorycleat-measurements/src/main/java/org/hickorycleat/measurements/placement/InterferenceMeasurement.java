package org.hickorycleat.measurements.placement;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.Random;
import java.util.function.Supplier;
import java.util.stream.LongStream;
import org.hickorycleat.logic.batch.JobNaming;
import org.hickorycleat.logic.interference.LatencyMeasurement;
import org.hickorycleat.logic.placement.PlacementPolicy;
import org.hickorycleat.logic.placement.PlacementView.PlacedTask;
import org.hickorycleat.logic.scheduling.PlacementObserver;
import org.hickorycleat.logic.scheduling.SchedulingPolicy;
import org.hickorycleat.model.identifier.ServiceName;
import org.hickorycleat.model.identifier.TaskId;
import org.hickorycleat.model.identifier.TeamName;
import org.hickorycleat.model.manifest.Criticality;
import org.hickorycleat.model.task.Resources;
import org.hickorycleat.model.task.TaskSpecification;
import org.hickorycleat.model.task.TaskState;

/** Measures the tail latency of services colocated with batch work, with and without the model. */
public final class InterferenceMeasurement {
    private static final long TICK_MS = 2_000;
    private static final long DURATION_MS = 6 * 3_600_000L;
    private static final long WARM_UP_MS = 1_800_000;
    private static final int JOBS = 16;
    private static final double LOAD = 0.6;
    private static final ServiceName EVERYWHERE = new ServiceName("everywhere");
    private static final ServiceName SPARSE = new ServiceName("sparse");
    private static final int SPARSE_INSTANCES = 4;

    private record PolicyUnderTest(PlacementPolicy policy, PlacementObserver observer) {}

    private record Run(FleetResult result, List<Double> latencies) {}

    /** Returns one line for each fleet profile and policy. */
    public List<String> run(long[] seeds) {
        List<String> lines = new ArrayList<>();
        for (FleetProfile profile : FleetProfile.values()) {
            lines.add(line(profile, "no_model", seeds, InterferenceMeasurement::withoutModel));
            lines.add(line(profile, "default", seeds, InterferenceMeasurement::defaultPolicy));
        }
        return lines;
    }

    private static PolicyUnderTest defaultPolicy() {
        SchedulingPolicy policy = new SchedulingPolicy(JobNaming.BEFORE_LAST_SLASH);
        return new PolicyUnderTest(policy, policy);
    }

    /** Creates the default policy without its latency measurements. */
    private static PolicyUnderTest withoutModel() {
        SchedulingPolicy policy = new SchedulingPolicy(JobNaming.BEFORE_LAST_SLASH);
        PlacementObserver observerWithoutLatencies =
                new NoOpPlacementObserver() {
                    @Override
                    public void onAttemptRunning(PlacedTask task, long nowMs) {
                        policy.onAttemptRunning(task, nowMs);
                    }

                    @Override
                    public void onAttemptEnded(PlacedTask task, TaskState state, long nowMs) {
                        policy.onAttemptEnded(task, state, nowMs);
                    }

                    @Override
                    public void onLatencyMeasured(LatencyMeasurement measurement) {}
                };
        return new PolicyUnderTest(policy, observerWithoutLatencies);
    }

    private static String line(
            FleetProfile profile,
            String name,
            long[] seeds,
            Supplier<PolicyUnderTest> policyUnderTest) {
        List<Run> runs =
                LongStream.of(seeds)
                        .parallel()
                        .mapToObj(seed -> runOnce(profile, policyUnderTest.get(), seed))
                        .toList();
        return String.format(
                Locale.ROOT,
                "measurement=interference firm=%s policy=%s seeds=%d latency_p50=%.3f"
                        + " latency_p99=%.3f evictions=%.0f throttles=%.0f core_hours=%.0f"
                        + " on_time=%.4f lost_hours=%.2f",
                profile.name().toLowerCase(Locale.ROOT),
                name,
                seeds.length,
                Quantiles.medianOf(runs, run -> Quantiles.quantile(0.5, run.latencies)),
                Quantiles.medianOf(runs, run -> Quantiles.quantile(0.99, run.latencies)),
                Quantiles.medianOf(runs, run -> run.result.mEvictions),
                Quantiles.medianOf(runs, run -> run.result.mThrottles),
                Quantiles.medianOf(runs, run -> run.result.coreHours()),
                Quantiles.medianOf(runs, run -> run.result.onTimeShare()),
                Quantiles.medianOf(runs, run -> run.result.mLostProgressMs / 3_600_000.0));
    }

    private static Run runOnce(FleetProfile profile, PolicyUnderTest policyUnderTest, long seed) {
        FleetSimulation simulation =
                new FleetSimulation(policyUnderTest.policy, policyUnderTest.observer, TICK_MS);
        simulation.addWorkers(profile.workers());
        simulation.addWorkload(tasks(profile, seed));
        InterferenceFake fake =
                new InterferenceFake(simulation, policyUnderTest.observer, WARM_UP_MS, seed);
        fake.drawEffects(List.of(EVERYWHERE, SPARSE), JOBS);
        fake.start();
        return new Run(simulation.run(DURATION_MS), fake.relativeLatencies());
    }

    private static List<WorkloadTask> tasks(FleetProfile profile, long seed) {
        Random random = new Random(seed);
        List<WorkloadTask> tasks = new ArrayList<>();
        for (int i = 0; i < FleetProfile.WORKERS; i++) {
            tasks.add(service(EVERYWHERE, i));
        }
        for (int i = 0; i < SPARSE_INSTANCES; i++) {
            tasks.add(service(SPARSE, i));
        }
        double targetDemand =
                LOAD
                        * FleetProfile.WORKERS
                        * (profile.capacity().processorsMilli() - 3_000)
                        * DURATION_MS;
        double demand = 0;
        for (int i = 0; demand < targetDemand; i++) {
            WorkloadTask task = batch(random, i);
            tasks.add(task);
            demand += task.specification().resources().processorsMilli() * (double) task.runMs();
        }
        return tasks;
    }

    private static WorkloadTask service(ServiceName service, int number) {
        return new WorkloadTask(
                task(
                        service + "/" + number,
                        Optional.of(service),
                        new Resources(2_000, 4_000, 0),
                        0,
                        Long.MAX_VALUE),
                0,
                Long.MAX_VALUE);
    }

    private static WorkloadTask batch(Random random, int number) {
        long cores = 1L << random.nextInt(3);
        long runMs = (long) (900_000 * Math.exp(0.6 * random.nextGaussian()));
        long arrivalMs = (long) (random.nextDouble() * (DURATION_MS - 3_600_000));
        long deadlineMs = arrivalMs + (long) (runMs * (2 + 4 * random.nextDouble()));
        String id = "job-" + random.nextInt(JOBS) + "/" + number;
        Resources size = new Resources(cores * 1_000, cores * 3_700, 0);
        return new WorkloadTask(
                task(id, Optional.empty(), size, runMs, deadlineMs), arrivalMs, runMs);
    }

    private static TaskSpecification task(
            String id,
            Optional<ServiceName> service,
            Resources size,
            long estimatedMs,
            long deadlineMs) {
        return new TaskSpecification(
                new TaskId(id),
                new TeamName("team"),
                service,
                service.isPresent() ? Criticality.CRITICAL : Criticality.NORMAL,
                size,
                estimatedMs,
                0,
                deadlineMs,
                true,
                false);
    }
}
