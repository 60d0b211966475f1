package org.hickorycleat.measurements.placement;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import org.hickorycleat.logic.interference.LatencyMeasurement;
import org.hickorycleat.logic.placement.PlacementView.Phase;
import org.hickorycleat.logic.placement.PlacementView.PlacedTask;
import org.hickorycleat.logic.placement.WorkerView;
import org.hickorycleat.logic.scheduling.PlacementObserver;
import org.hickorycleat.model.identifier.ServiceName;

/**
 * Simulates the latencies of services that are colocated with batch work: some pairs of a service
 * and a job interfere, the load of all instances varies periodically, and measurements arrive 5 to
 * 30 s late.
 */
final class InterferenceFake {
    private static final long MEASUREMENT_INTERVAL_MS = 2_000;
    private static final double BASE_LATENCY_MS = 20;
    private static final double NOISE_SIGMA = 0.15;
    private static final double INTERFERING_SHARE = 0.25;

    private final FleetSimulation mSimulation;
    private final PlacementObserver mObserver;
    private final Random mEffectRandom;
    private final Random mNoiseRandom;
    private final long mWarmUpEndMs;
    private final Map<Colocation, Double> mEffects = new HashMap<>();
    private final List<Double> mRelativeLatencies = new ArrayList<>();

    InterferenceFake(
            FleetSimulation simulation, PlacementObserver observer, long warmUpEndMs, long seed) {
        mSimulation = simulation;
        mObserver = observer;
        mWarmUpEndMs = warmUpEndMs;
        mEffectRandom = new Random(seed);
        mNoiseRandom = new Random(seed + 1);
    }

    private record Colocation(ServiceName service, String job) {}

    /** Returns the latencies after the warm-up as multiples of the base latency. */
    List<Double> relativeLatencies() {
        return mRelativeLatencies;
    }

    /** Draws the effect of each job on each service, which is the same for every policy. */
    void drawEffects(List<ServiceName> services, int jobs) {
        for (ServiceName service : services) {
            for (int i = 0; i < jobs; i++) {
                boolean interferes = mEffectRandom.nextDouble() < INTERFERING_SHARE;
                double effect = 0.4 + 0.8 * mEffectRandom.nextDouble();
                mEffects.put(new Colocation(service, "job-" + i), interferes ? effect : 0);
            }
        }
    }

    void start() {
        mSimulation.schedule(mSimulation.nowMs() + MEASUREMENT_INTERVAL_MS, this::measure);
    }

    private void measure() {
        double loadVariation = 0.25 * Math.sin(mSimulation.nowMs() / 240_000.0);
        for (WorkerView worker : mSimulation.view().workers()) {
            for (PlacedTask task : mSimulation.view().placedOn(worker.worker())) {
                task.specification()
                        .service()
                        .ifPresent(service -> measure(service, worker, loadVariation));
            }
        }
        start();
    }

    private void measure(ServiceName service, WorkerView worker, double loadVariation) {
        double effect = 0;
        for (PlacedTask task : mSimulation.view().placedOn(worker.worker())) {
            if (task.specification().service().isEmpty() && task.phase() == Phase.RUNNING) {
                String id = task.specification().task().value();
                Colocation colocation = new Colocation(service, id.substring(0, id.indexOf('/')));
                effect += mEffects.getOrDefault(colocation, 0.0) * task.throttlePermille() / 1_000;
            }
        }
        double factor =
                Math.exp(effect + loadVariation + NOISE_SIGMA * mNoiseRandom.nextGaussian());
        if (mSimulation.nowMs() >= mWarmUpEndMs) {
            mRelativeLatencies.add(factor);
        }
        LatencyMeasurement measurement =
                new LatencyMeasurement(
                        service, worker.worker(), mSimulation.nowMs(), BASE_LATENCY_MS * factor);
        long arrivesMs = mSimulation.nowMs() + 5_000 + mNoiseRandom.nextInt(25_000);
        mSimulation.schedule(arrivesMs, () -> mObserver.onLatencyMeasured(measurement));
    }
}
