package org.hickorycleat.logic.dispatch;

import java.util.HashMap;
import java.util.Map;
import org.hickorycleat.model.job.QueueName;

/** Estimates for each queue the ratio of actual to estimated run times. */
final class RunTimeRatios {
    /** Weight of the newest run in the moving average. */
    private static final double NEWEST_RUN_WEIGHT = 0.1;

    /** Bounds of the ratio: estimates are wrong by a factor of up to ten. */
    private static final double MINIMUM_RATIO = 0.1;

    static final double MAXIMUM_RATIO = 10;

    private final Map<QueueName, Double> mLogRatioByQueue = new HashMap<>();

    /** Records a successful run that took the given time, in milliseconds. */
    void recordRun(QueueName queue, int estimateMs, long actualMs) {
        if (estimateMs <= 0 || actualMs <= 0) {
            return;
        }
        double ratio =
                Math.max(MINIMUM_RATIO, Math.min(MAXIMUM_RATIO, (double) actualMs / estimateMs));
        double before = mLogRatioByQueue.getOrDefault(queue, 0.0);
        mLogRatioByQueue.put(queue, before + NEWEST_RUN_WEIGHT * (Math.log(ratio) - before));
    }

    /** Returns the ratio of actual to estimated run times of a queue. */
    double ratio(QueueName queue) {
        return Math.exp(mLogRatioByQueue.getOrDefault(queue, 0.0));
    }
}
