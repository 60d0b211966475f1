package org.hickorycleat.measurements;

import java.util.List;
import java.util.function.ToDoubleFunction;

/** Median over the runs of a measurement. */
public final class Median {
    private Median() {}

    /** Returns the median of a figure; the mean of the two middle ones if their number is even. */
    public static <T> double of(List<T> runs, ToDoubleFunction<T> figure) {
        double[] sorted = runs.stream().mapToDouble(figure).sorted().toArray();
        if (sorted.length == 0) {
            return Double.NaN;
        }
        int middle = sorted.length / 2;
        return sorted.length % 2 == 1 ? sorted[middle] : (sorted[middle - 1] + sorted[middle]) / 2;
    }
}
