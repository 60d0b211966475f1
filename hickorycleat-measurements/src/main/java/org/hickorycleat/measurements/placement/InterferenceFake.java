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
 * Latencies of services beside batch work: some pairs disturb each other, load moves all instances
 * in waves, and measurements arrive 5 to 30 s late.
 */
final class InterferenceFake {
    private static final long EVERY_MS = 2_000;
    private static final double BASE_MS = 20;
    private static final double NOISE = 0.15;
    private static final double DISTURBING = 0.25;

    private final FleetSimulation mLoop;
    private final PlacementObserver mObserver;
    private final Random mEffectRandom;
    private final Random mNoise;
    private final long mFromMs;
    private final Map<Pair, Double> mEffects = new HashMap<>();
    private final List<Double> mLatencies = new ArrayList<>();

    InterferenceFake(FleetSimulation loop, PlacementObserver observer, long fromMs, long seed) {
        mLoop = loop;
        mObserver = observer;
        mFromMs = fromMs;
        mEffectRandom = new Random(seed);
        mNoise = new Random(seed + 1);
    }

    private record Pair(ServiceName service, String job) {}

    /** Latencies over the undisturbed base, after the time for learning. */
    List<Double> latencies() {
        return mLatencies;
    }

    /** Draws the effect of each job on each service, the same for every policy. */
    void drawEffects(List<ServiceName> services, int jobs) {
        for (ServiceName service : services) {
            for (int i = 0; i < jobs; i++) {
                boolean disturbs = mEffectRandom.nextDouble() < DISTURBING;
                double effect = 0.4 + 0.8 * mEffectRandom.nextDouble();
                mEffects.put(new Pair(service, "job-" + i), disturbs ? effect : 0);
            }
        }
    }

    void start() {
        mLoop.at(mLoop.nowMs() + EVERY_MS, this::measure);
    }

    private void measure() {
        double wave = 0.25 * Math.sin(mLoop.nowMs() / 240_000.0);
        for (WorkerView worker : mLoop.view().workers()) {
            for (PlacedTask task : mLoop.view().placedOn(worker.worker())) {
                task.specification().service().ifPresent(service -> measure(service, worker, wave));
            }
        }
        start();
    }

    private void measure(ServiceName service, WorkerView worker, double wave) {
        double effect = 0;
        for (PlacedTask task : mLoop.view().placedOn(worker.worker())) {
            if (task.specification().service().isEmpty() && task.phase() == Phase.RUNNING) {
                String id = task.specification().task().value();
                Pair pair = new Pair(service, id.substring(0, id.indexOf('/')));
                effect += mEffects.getOrDefault(pair, 0.0) * task.throttlePermille() / 1_000;
            }
        }
        double factor = Math.exp(effect + wave + NOISE * mNoise.nextGaussian());
        if (mLoop.nowMs() >= mFromMs) {
            mLatencies.add(factor);
        }
        LatencyMeasurement measurement =
                new LatencyMeasurement(service, worker.worker(), mLoop.nowMs(), BASE_MS * factor);
        long arrivesMs = mLoop.nowMs() + 5_000 + mNoise.nextInt(25_000);
        mLoop.at(arrivesMs, () -> mObserver.onLatencyMeasured(measurement));
    }
}
