package org.hickorycleat.logic.dispatch;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.hickorycleat.model.job.StepSpecification;
import org.hickorycleat.model.message.FillWeights;

/**
 * Estimates from late measurements how much each image that fills raises the tail of each image
 * that serves.
 *
 * <p>The ratio of tail to target is taken as a base and a sum over the images that fill, each in
 * proportion to the share of the processors that it uses; the weights follow the error of each
 * prediction (normalised least mean squares) and are never negative.
 */
final class InterferenceEstimates {
    private static final double WEIGHT_RATE = 0.3;
    private static final double BASE_RATE = 0.02;

    /** Keeps the step finite when little fills. */
    private static final double REGULARISATION = 0.05;

    /** Base of an image that has not been seen, as a ratio of tail to target. */
    private static final double FIRST_BASE = 0.4;

    private static final double MILLI = 1000;

    private final Map<String, Double> mBases = new HashMap<>();
    private final Map<Pair, Double> mWeights = new HashMap<>();

    private record Pair(String serving, String filling) {}

    /** Learns from the newest measurements of a worker. */
    void observe(WorkerTrack worker) {
        Map<String, Double> shares = shares(worker);
        for (RunTrack run : worker.runs()) {
            StepSpecification step = run.task().specification();
            if (step.targetLatencyMs() > 0 && run.measurement() > 0) {
                observe(step.image(), ratio(run), shares);
            }
        }
    }

    private static Map<String, Double> shares(WorkerTrack worker) {
        Map<String, Double> shares = new HashMap<>();
        double capacity = Math.max(1, worker.capacity().processorsMilli());
        for (RunTrack run : worker.runs()) {
            StepSpecification step = run.task().specification();
            if (step.fills()) {
                shares.merge(step.image(), run.measurement() / capacity, Double::sum);
            }
        }
        return shares;
    }

    private void observe(String serving, double ratio, Map<String, Double> shares) {
        double base = mBases.getOrDefault(serving, FIRST_BASE);
        double predicted = base;
        double norm = REGULARISATION;
        for (Map.Entry<String, Double> share : shares.entrySet()) {
            predicted += weight(serving, share.getKey()) * share.getValue();
            norm += share.getValue() * share.getValue();
        }
        double error = ratio - predicted;
        mBases.put(serving, Math.max(0, base + BASE_RATE * error));
        for (Map.Entry<String, Double> share : shares.entrySet()) {
            double step = WEIGHT_RATE * error * share.getValue() / norm;
            Pair pair = new Pair(serving, share.getKey());
            mWeights.put(pair, Math.max(0, weight(serving, share.getKey()) + step));
        }
    }

    private double weight(String serving, String filling) {
        return mWeights.getOrDefault(new Pair(serving, filling), 0.0);
    }

    private static double ratio(RunTrack run) {
        return (double) run.measurement() / run.task().specification().targetLatencyMs();
    }

    /**
     * Returns the highest ratio of tail to target that is expected on a worker with a further task.
     *
     * @param pace share at which the further task works
     */
    double expectedRatio(WorkerTrack worker, StepSpecification further, double pace) {
        double capacity = Math.max(1, worker.capacity().processorsMilli());
        double highest = 0;
        for (RunTrack run : worker.runs()) {
            StepSpecification step = run.task().specification();
            if (step.targetLatencyMs() <= 0) {
                continue;
            }
            double added = further.request().processorsMilli() * pace;
            double expected = ratio(run) + weight(step.image(), further.image()) * added / capacity;
            highest = Math.max(highest, expected + unmeasured(worker, step, capacity));
        }
        return highest;
    }

    // Tasks that have just been started do not show in the measured tail yet.
    private double unmeasured(WorkerTrack worker, StepSpecification serving, double capacity) {
        double added = 0;
        for (RunTrack run : worker.runs()) {
            StepSpecification step = run.task().specification();
            if (step.fills() && run.measurement() == 0) {
                added +=
                        weight(serving.image(), step.image())
                                * step.request().processorsMilli()
                                / capacity;
            }
        }
        return added;
    }

    /** Returns the weights of the images that fill on a worker, for its serving tasks. */
    List<FillWeights.ImageWeight> weights(WorkerTrack worker) {
        List<FillWeights.ImageWeight> weights = new ArrayList<>();
        for (String filling : shares(worker).keySet()) {
            double highest = 0;
            for (RunTrack run : worker.runs()) {
                StepSpecification step = run.task().specification();
                if (step.targetLatencyMs() > 0) {
                    highest = Math.max(highest, weight(step.image(), filling));
                }
            }
            weights.add(new FillWeights.ImageWeight(filling, Math.round(highest * MILLI)));
        }
        return weights;
    }
}
