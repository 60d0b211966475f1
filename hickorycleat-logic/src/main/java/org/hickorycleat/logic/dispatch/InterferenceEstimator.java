package org.hickorycleat.logic.dispatch;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.hickorycleat.logic.interference.LatencyCriticalLoad;
import org.hickorycleat.model.job.InterferenceEstimate;
import org.hickorycleat.model.job.StepSpecification;
import org.hickorycleat.model.message.InterferenceWeights;

/**
 * Estimates from delayed measurements how much each best-effort image adds to the load of each
 * latency-critical image.
 *
 * <p>The load of a latency-critical run is modelled as its own load, which drifts, plus a sum over
 * the best-effort images on the same worker, each in proportion to the share of the processors that
 * it uses. A Kalman filter without cross-covariances tracks both, so that a jump after a new image
 * started is attributed to that image and a slow change to the run itself.
 */
final class InterferenceEstimator {
    /** Load assumed for a latency-critical run before its first measurement, and its variance. */
    private static final double INITIAL_LOAD = 0.45;

    private static final double INITIAL_LOAD_VARIANCE = 0.02;

    /** Weight assumed for a pair of images before its first measurement, and its variance. */
    private static final double INITIAL_WEIGHT = 1.2;

    private static final double INITIAL_WEIGHT_VARIANCE = 2;

    /** Increase of the variances from one measurement to the next. */
    private static final double LOAD_DRIFT = 0.001;

    private static final double WEIGHT_DRIFT = 0.002;

    /** Relative error of a measured tail latency. */
    private static final double RELATIVE_TAIL_ERROR = 0.1;

    /** Minimum standard deviation of a measured load. */
    private static final double MINIMUM_LOAD_ERROR = 0.02;

    private static final double MILLI = 1000;

    private final Map<ImagePair, Estimate> mWeights = new HashMap<>();

    private record ImagePair(String latencyCriticalImage, String bestEffortImage) {}

    /** An estimated mean and its variance. */
    static final class Estimate {
        private double mMean;
        private double mVariance;

        Estimate(double mean, double variance) {
            mMean = mean;
            mVariance = variance;
        }

        private void correct(double gain, double error, double sensitivity) {
            mMean = Math.max(0, mMean + gain * error);
            mVariance *= Math.max(0, 1 - gain * sensitivity);
        }
    }

    /** Returns the estimate of the own load of a run that was never measured. */
    static Estimate initialLoad() {
        return new Estimate(INITIAL_LOAD, INITIAL_LOAD_VARIANCE);
    }

    /** Updates the estimates from the newest measurements of a worker. */
    void update(TrackedWorker worker) {
        Map<String, Double> shares = processorShares(worker);
        for (TrackedRun run : worker.runs()) {
            StepSpecification step = run.task().specification();
            if (step.targetLatencyMs() > 0 && run.takeNewMeasurement()) {
                update(step.image(), run.ownLoad(), measuredLoad(run), shares);
            }
        }
    }

    private static Map<String, Double> processorShares(TrackedWorker worker) {
        Map<String, Double> shares = new HashMap<>();
        double capacity = Math.max(1, worker.capacity().processorsMilli());
        for (TrackedRun run : worker.runs()) {
            StepSpecification step = run.task().specification();
            if (step.bestEffort()) {
                shares.merge(step.image(), run.measurement() / capacity, Double::sum);
            }
        }
        return shares;
    }

    private void update(
            String latencyCriticalImage, Estimate own, double load, Map<String, Double> shares) {
        double expected = own.mMean;
        double noise = Math.max(MINIMUM_LOAD_ERROR, RELATIVE_TAIL_ERROR * (1 - load));
        own.mVariance += LOAD_DRIFT;
        double variance = own.mVariance + noise * noise;
        for (Map.Entry<String, Double> share : shares.entrySet()) {
            Estimate weight = estimate(latencyCriticalImage, share.getKey());
            weight.mVariance = Math.min(INITIAL_WEIGHT_VARIANCE, weight.mVariance + WEIGHT_DRIFT);
            expected += weight.mMean * share.getValue();
            variance += share.getValue() * share.getValue() * weight.mVariance;
        }
        double error = load - expected;
        if (load > LatencyCriticalLoad.SATURATION_LOAD && error < 0) {
            return;
        }
        own.correct(own.mVariance / variance, error, 1);
        for (Map.Entry<String, Double> share : shares.entrySet()) {
            Estimate weight = estimate(latencyCriticalImage, share.getKey());
            double gain = share.getValue() * weight.mVariance / variance;
            weight.correct(gain, error, share.getValue());
        }
    }

    private Estimate estimate(String latencyCriticalImage, String bestEffortImage) {
        return mWeights.computeIfAbsent(
                new ImagePair(latencyCriticalImage, bestEffortImage),
                pair -> new Estimate(INITIAL_WEIGHT, INITIAL_WEIGHT_VARIANCE));
    }

    private double weight(String latencyCriticalImage, String bestEffortImage) {
        Estimate estimate = mWeights.get(new ImagePair(latencyCriticalImage, bestEffortImage));
        return estimate == null ? INITIAL_WEIGHT : estimate.mMean;
    }

    private static double measuredLoad(TrackedRun run) {
        return LatencyCriticalLoad.of(
                run.measurement(), run.task().specification().targetLatencyMs());
    }

    /**
     * Returns the highest expected load of a latency-critical task on a worker if a best-effort
     * task is added.
     */
    double expectedLoad(TrackedWorker worker, StepSpecification added) {
        double share = processorShare(worker, added);
        double highest = 0;
        for (Map.Entry<String, Double> entry : latencyCriticalLoads(worker).entrySet()) {
            double increase = weight(entry.getKey(), added.image()) * share;
            highest = Math.max(highest, entry.getValue() + increase);
        }
        return highest;
    }

    /**
     * Returns the most that an added best-effort task increases the load of a latency-critical
     * task.
     */
    double addedLoad(TrackedWorker worker, StepSpecification added) {
        double highest = 0;
        for (String latencyCriticalImage : latencyCriticalLoads(worker).keySet()) {
            highest = Math.max(highest, weight(latencyCriticalImage, added.image()));
        }
        return highest * processorShare(worker, added);
    }

    private static double processorShare(TrackedWorker worker, StepSpecification step) {
        return step.resources().processorsMilli()
                / Math.max(1.0, (double) worker.capacity().processorsMilli());
    }

    private Map<String, Double> latencyCriticalLoads(TrackedWorker worker) {
        return worker.latencyCriticalLoads(() -> computeLatencyCriticalLoads(worker));
    }

    // Returns the highest load of each latency-critical image, including the expected effect of
    // best-effort tasks that have no measurement yet.
    private Map<String, Double> computeLatencyCriticalLoads(TrackedWorker worker) {
        Map<String, Double> loads = new HashMap<>();
        for (TrackedRun run : worker.runs()) {
            StepSpecification step = run.task().specification();
            if (step.targetLatencyMs() > 0) {
                double measured = run.measurement() > 0 ? measuredLoad(run) : INITIAL_LOAD;
                loads.merge(step.image(), measured, Math::max);
            }
        }
        if (loads.isEmpty()) {
            return loads;
        }
        for (TrackedRun run : worker.runs()) {
            StepSpecification step = run.task().specification();
            if (step.bestEffort() && run.measurement() == 0) {
                double share = processorShare(worker, step);
                loads.replaceAll(
                        (latencyCriticalImage, load) ->
                                load + weight(latencyCriticalImage, step.image()) * share);
            }
        }
        return loads;
    }

    /** Returns all weights, to be saved for the next owner. */
    List<InterferenceEstimate> snapshot() {
        List<InterferenceEstimate> weights = new ArrayList<>();
        mWeights.forEach(
                (pair, weight) ->
                        weights.add(
                                new InterferenceEstimate(
                                        pair.latencyCriticalImage(),
                                        pair.bestEffortImage(),
                                        Math.round(weight.mMean * MILLI),
                                        Math.round(weight.mVariance * MILLI))));
        return weights;
    }

    /** Restores weights that a previous owner saved. */
    void restore(List<InterferenceEstimate> weights) {
        for (InterferenceEstimate weight : weights) {
            mWeights.put(
                    new ImagePair(weight.latencyCriticalImage(), weight.bestEffortImage()),
                    new Estimate(weight.meanMilli() / MILLI, weight.varianceMilli() / MILLI));
        }
    }

    /**
     * Returns for each best-effort image on a worker its highest weight on a latency-critical task
     * there.
     */
    List<InterferenceWeights.ImageWeight> weightsFor(TrackedWorker worker) {
        List<InterferenceWeights.ImageWeight> weights = new ArrayList<>();
        for (String bestEffortImage : processorShares(worker).keySet()) {
            double highest = 0;
            for (TrackedRun run : worker.runs()) {
                StepSpecification step = run.task().specification();
                if (step.targetLatencyMs() > 0) {
                    highest = Math.max(highest, weight(step.image(), bestEffortImage));
                }
            }
            weights.add(
                    new InterferenceWeights.ImageWeight(
                            bestEffortImage, Math.round(highest * MILLI)));
        }
        return weights;
    }
}
