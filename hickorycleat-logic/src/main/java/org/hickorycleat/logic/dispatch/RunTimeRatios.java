package org.hickorycleat.logic.dispatch;

import java.util.HashMap;
import java.util.Map;
import org.hickorycleat.model.job.QueueName;

/**
 * Estimates for each queue the ratio of actual to estimated run times, apart for runs near their
 * data or group and for runs away from it.
 */
final class RunTimeRatios {
    /** Weight of the newest run in the moving average. */
    private static final double NEWEST_RUN_WEIGHT = 0.1;

    /** Bounds of the ratio: estimates are wrong by a factor of up to ten. */
    private static final double MINIMUM_RATIO = 0.1;

    static final double MAXIMUM_RATIO = 10;

    /**
     * Weight of the newest run in the correction of the far factor. Run times scatter more than the
     * factor is off, so the factor of the settings changes slowly.
     */
    private static final double NEWEST_FAR_RUN_WEIGHT = 0.02;

    private final double mFarFactor;
    private final Map<QueueName, Double> mLogRatioByQueue = new HashMap<>();
    private final Map<QueueName, Double> mLogFarCorrectionByQueue = new HashMap<>();

    /** Creates ratios for workers on which a run takes the same time in any rack. */
    RunTimeRatios() {
        this(1);
    }

    /**
     * Creates ratios without samples.
     *
     * @param farFactor factor from the run time in the rack of the data to that in another one
     */
    RunTimeRatios(double farFactor) {
        mFarFactor = farFactor;
    }

    /** Returns whether the rack of a task affects its run time. */
    boolean isRackAware() {
        return mFarFactor > 1;
    }

    /** Returns the factor from the run time near the data to that away from it; at least 1. */
    double farFactor(QueueName queue) {
        double correction = Math.exp(mLogFarCorrectionByQueue.getOrDefault(queue, 0.0));
        return Math.max(1, mFarFactor * correction);
    }

    /** Records a successful run away from its data or group; its time is in milliseconds. */
    void recordFarRun(QueueName queue, int estimateMs, long actualMs) {
        if (estimateMs <= 0 || actualMs <= 0) {
            return;
        }
        double before = mLogFarCorrectionByQueue.getOrDefault(queue, 0.0);
        double expectedMs = estimateMs * ratio(queue) * mFarFactor;
        double logDeviation = Math.log(bounded(actualMs / expectedMs));
        mLogFarCorrectionByQueue.put(
                queue, before + NEWEST_FAR_RUN_WEIGHT * (logDeviation - before));
    }

    private static double bounded(double ratio) {
        return Math.max(MINIMUM_RATIO, Math.min(MAXIMUM_RATIO, ratio));
    }

    /** Records a successful run that took the given time, in milliseconds. */
    void recordRun(QueueName queue, int estimateMs, long actualMs) {
        if (estimateMs <= 0 || actualMs <= 0) {
            return;
        }
        double ratio = bounded((double) actualMs / estimateMs);
        double before = mLogRatioByQueue.getOrDefault(queue, 0.0);
        mLogRatioByQueue.put(queue, before + NEWEST_RUN_WEIGHT * (Math.log(ratio) - before));
    }

    /** Returns the ratio of actual to estimated run times of a queue. */
    double ratio(QueueName queue) {
        return Math.exp(mLogRatioByQueue.getOrDefault(queue, 0.0));
    }
}
