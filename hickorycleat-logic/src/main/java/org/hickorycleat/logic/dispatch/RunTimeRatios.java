package org.hickorycleat.logic.dispatch;

import java.util.HashMap;
import java.util.Map;
import org.hickorycleat.model.job.QueueName;

/** Learns by which factor the run times of a queue differ from their estimates. */
final class RunTimeRatios {
    /** Weight of the newest run. */
    private static final double NEWEST_WEIGHT = 0.1;

    /** Bounds of the factor; estimates are off by up to ten times. */
    private static final double LOWEST = 0.1;

    private static final double HIGHEST = 10;

    private final Map<QueueName, Double> mLogarithms = new HashMap<>();

    /** Learns from a run that ended well after the given time, in milliseconds. */
    void onDone(QueueName queue, int estimateMs, long tookMs) {
        if (estimateMs <= 0 || tookMs <= 0) {
            return;
        }
        double ratio = Math.max(LOWEST, Math.min(HIGHEST, (double) tookMs / estimateMs));
        double before = mLogarithms.getOrDefault(queue, 0.0);
        mLogarithms.put(queue, before + NEWEST_WEIGHT * (Math.log(ratio) - before));
    }

    /** Returns the factor of a queue. */
    double ratio(QueueName queue) {
        return Math.exp(mLogarithms.getOrDefault(queue, 0.0));
    }
}
