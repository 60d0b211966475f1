package org.hickorycleat.logic.dispatch;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.hickorycleat.logic.interference.ServingLoad;
import org.hickorycleat.model.job.InterferenceEstimate;
import org.hickorycleat.model.job.StepSpecification;
import org.hickorycleat.model.message.InterferenceWeights;

/**
 * Estimates from late measurements how much each image that fills adds to the load of each image
 * that serves.
 *
 * <p>The load of a serving run is taken as its own load, which drifts, and a sum over the images
 * that fill beside it, each in proportion to the share of the processors that it uses. Both are
 * tracked by a Kalman filter without cross-covariances, so that a jump beside a new neighbour is
 * put down to that neighbour and a slow change to the run itself.
 */
final class InterferenceEstimates {
    /** Load of a serving run before anything is known of it, and its variance. */
    private static final double FIRST_LOAD = 0.45;

    private static final double FIRST_LOAD_VARIANCE = 0.02;

    /** Weight of a pair of images before it has been seen, and its variance. */
    private static final double FIRST_WEIGHT = 1.2;

    private static final double FIRST_WEIGHT_VARIANCE = 2;

    /** Growth of the variances between two measurements. */
    private static final double LOAD_DRIFT = 0.001;

    private static final double WEIGHT_DRIFT = 0.002;

    /** Relative error of a measured tail. */
    private static final double TAIL_ERROR = 0.1;

    /** Least standard deviation of a measured load. */
    private static final double LEAST_ERROR = 0.02;

    private static final double MILLI = 1000;

    private final Map<Pair, Estimate> mWeights = new HashMap<>();

    private record Pair(String serving, String filling) {}

    /** A mean and its variance. */
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

    /** Returns what is known of the own load of a run that was never measured. */
    static Estimate firstLoad() {
        return new Estimate(FIRST_LOAD, FIRST_LOAD_VARIANCE);
    }

    /** Learns from the newest measurements of a worker. */
    void observe(TrackedWorker worker) {
        Map<String, Double> shares = shares(worker);
        for (TrackedRun run : worker.runs()) {
            StepSpecification step = run.task().specification();
            if (step.targetLatencyMs() > 0 && run.takeNewMeasurement()) {
                observe(step.image(), run.ownLoad(), load(run), shares);
            }
        }
    }

    private static Map<String, Double> shares(TrackedWorker worker) {
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

    private void observe(String serving, Estimate own, double load, Map<String, Double> shares) {
        double expected = own.mMean;
        double noise = Math.max(LEAST_ERROR, TAIL_ERROR * (1 - load));
        own.mVariance += LOAD_DRIFT;
        double variance = own.mVariance + noise * noise;
        for (Map.Entry<String, Double> share : shares.entrySet()) {
            Estimate weight = estimate(serving, share.getKey());
            weight.mVariance = Math.min(FIRST_WEIGHT_VARIANCE, weight.mVariance + WEIGHT_DRIFT);
            expected += weight.mMean * share.getValue();
            variance += share.getValue() * share.getValue() * weight.mVariance;
        }
        double error = load - expected;
        if (load > ServingLoad.SATURATION_LOAD && error < 0) {
            return;
        }
        own.correct(own.mVariance / variance, error, 1);
        for (Map.Entry<String, Double> share : shares.entrySet()) {
            Estimate weight = estimate(serving, share.getKey());
            double gain = share.getValue() * weight.mVariance / variance;
            weight.correct(gain, error, share.getValue());
        }
    }

    private Estimate estimate(String serving, String filling) {
        return mWeights.computeIfAbsent(
                new Pair(serving, filling),
                pair -> new Estimate(FIRST_WEIGHT, FIRST_WEIGHT_VARIANCE));
    }

    private double weight(String serving, String filling) {
        Estimate known = mWeights.get(new Pair(serving, filling));
        return known == null ? FIRST_WEIGHT : known.mMean;
    }

    private static double load(TrackedRun run) {
        return ServingLoad.of(run.measurement(), run.task().specification().targetLatencyMs());
    }

    /** Returns the highest load of a serving task on a worker with a further task that fills. */
    double expectedLoad(TrackedWorker worker, StepSpecification further) {
        double share = share(worker, further);
        double highest = 0;
        for (Map.Entry<String, Double> serving : loads(worker).entrySet()) {
            double added = weight(serving.getKey(), further.image()) * share;
            highest = Math.max(highest, serving.getValue() + added);
        }
        return highest;
    }

    /** Returns the most that a further task that fills adds to the load of a serving task. */
    double addedLoad(TrackedWorker worker, StepSpecification further) {
        double highest = 0;
        for (String serving : loads(worker).keySet()) {
            highest = Math.max(highest, weight(serving, further.image()));
        }
        return highest * share(worker, further);
    }

    private static double share(TrackedWorker worker, StepSpecification step) {
        return step.resources().processorsMilli()
                / Math.max(1.0, (double) worker.capacity().processorsMilli());
    }

    private Map<String, Double> loads(TrackedWorker worker) {
        return worker.servingLoads(() -> computeLoads(worker));
    }

    // The highest load of each serving image, with tasks that do not show in a measurement yet.
    private Map<String, Double> computeLoads(TrackedWorker worker) {
        Map<String, Double> loads = new HashMap<>();
        for (TrackedRun run : worker.runs()) {
            StepSpecification step = run.task().specification();
            if (step.targetLatencyMs() > 0) {
                double known = run.measurement() > 0 ? load(run) : FIRST_LOAD;
                loads.merge(step.image(), known, Math::max);
            }
        }
        if (loads.isEmpty()) {
            return loads;
        }
        for (TrackedRun run : worker.runs()) {
            StepSpecification step = run.task().specification();
            if (step.bestEffort() && run.measurement() == 0) {
                double share = share(worker, step);
                loads.replaceAll((serving, load) -> load + weight(serving, step.image()) * share);
            }
        }
        return loads;
    }

    /** Returns all weights, for a successor. */
    List<InterferenceEstimate> snapshot() {
        List<InterferenceEstimate> weights = new ArrayList<>();
        mWeights.forEach(
                (pair, weight) ->
                        weights.add(
                                new InterferenceEstimate(
                                        pair.serving(),
                                        pair.filling(),
                                        Math.round(weight.mMean * MILLI),
                                        Math.round(weight.mVariance * MILLI))));
        return weights;
    }

    /** Takes over weights that were learnt elsewhere. */
    void restore(List<InterferenceEstimate> weights) {
        for (InterferenceEstimate weight : weights) {
            mWeights.put(
                    new Pair(weight.servingImage(), weight.bestEffortImage()),
                    new Estimate(weight.meanMilli() / MILLI, weight.varianceMilli() / MILLI));
        }
    }

    /** Returns the weights of the images that fill on a worker, for its serving tasks. */
    List<InterferenceWeights.ImageWeight> weights(TrackedWorker worker) {
        List<InterferenceWeights.ImageWeight> weights = new ArrayList<>();
        for (String filling : shares(worker).keySet()) {
            double highest = 0;
            for (TrackedRun run : worker.runs()) {
                StepSpecification step = run.task().specification();
                if (step.targetLatencyMs() > 0) {
                    highest = Math.max(highest, weight(step.image(), filling));
                }
            }
            weights.add(new InterferenceWeights.ImageWeight(filling, Math.round(highest * MILLI)));
        }
        return weights;
    }
}
