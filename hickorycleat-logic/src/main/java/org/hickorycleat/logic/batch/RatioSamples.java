package org.hickorycleat.logic.batch;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Deque;
import java.util.List;

/** The most recent ratios; their quantiles are robust against outliers. */
final class RatioSamples {
    private static final int MAXIMUM_SAMPLES = 32;

    private final Deque<Double> mSamples = new ArrayDeque<>();
    private double[] mSorted = {};

    void add(double ratio) {
        if (mSamples.size() == MAXIMUM_SAMPLES) {
            mSamples.removeFirst();
        }
        mSamples.addLast(ratio);
        mSorted = mSamples.stream().mapToDouble(Double::doubleValue).toArray();
        Arrays.sort(mSorted);
    }

    List<Double> samples() {
        return new ArrayList<>(mSamples);
    }

    /**
     * Returns the quantile, shrunk in log space towards a prior that counts as that many samples.
     */
    double shrunkQuantile(double quantile, double priorSamples, double prior) {
        if (mSorted.length == 0) {
            return prior;
        }
        int index = (int) Math.min(mSorted.length - 1, Math.floor(quantile * mSorted.length));
        double weight = mSorted.length / (mSorted.length + priorSamples);
        return Math.exp(weight * Math.log(mSorted[index]) + (1 - weight) * Math.log(prior));
    }
}
