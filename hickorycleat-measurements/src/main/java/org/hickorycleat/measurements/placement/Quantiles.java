package org.hickorycleat.measurements.placement;

import java.util.Arrays;
import java.util.Collection;
import java.util.List;
import java.util.function.ToDoubleFunction;

/**
 * Nearest-rank quantiles of measured values; the median of an even number of values is the lower of
 * the two middle ones.
 */
final class Quantiles {
    private Quantiles() {}

    static double median(double... values) {
        return quantile(0.5, values);
    }

    /** Returns the median of a value over several runs. */
    static <T> double medianOf(List<T> runs, ToDoubleFunction<T> value) {
        return median(runs.stream().mapToDouble(value).toArray());
    }

    static double quantile(double quantile, Collection<? extends Number> values) {
        return quantile(quantile, values.stream().mapToDouble(Number::doubleValue).toArray());
    }

    static double quantile(double quantile, double... values) {
        if (values.length == 0) {
            return Double.NaN;
        }
        double[] sorted = values.clone();
        Arrays.sort(sorted);
        int index = (int) Math.ceil(quantile * sorted.length) - 1;
        return sorted[Math.max(0, Math.min(sorted.length - 1, index))];
    }
}
