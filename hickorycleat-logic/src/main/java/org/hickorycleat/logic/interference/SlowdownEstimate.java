package org.hickorycleat.logic.interference;

/**
 * Estimated slowdown that a job causes to a service, as the logarithm of the factor on its latency.
 *
 * @param mean expected value
 * @param deviation standard deviation of the estimate
 */
public record SlowdownEstimate(double mean, double deviation) {
    /**
     * Returns the mean less a number of standard deviations, which the slowdown probably exceeds.
     */
    public double lowerBound(double deviations) {
        return mean - deviations * deviation;
    }
}
