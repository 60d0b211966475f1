package org.hickorycleat.logic.interference;

/**
 * Estimated slowdown of a service by a job, as the logarithm of the factor on its latency.
 *
 * @param mean expected value
 * @param deviation standard deviation of the estimate
 */
public record PairEstimate(double mean, double deviation) {
    /** Returns a value that the slowdown exceeds with high probability. */
    public double lower(double deviations) {
        return mean - deviations * deviation;
    }
}
