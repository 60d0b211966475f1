package org.hickorycleat.logic.admission;

/**
 * Exponential decay with one time constant for all averages, so that ratios of decayed counts equal
 * ratios of rates.
 */
final class ExponentialDecay {
    /** Long compared with a service time, short compared with the rise of an overload. */
    private static final double TIME_CONSTANT_MS = 1_000;

    private ExponentialDecay() {}

    static double factor(long elapsedMs) {
        return Math.exp(-Math.max(0, elapsedMs) / TIME_CONSTANT_MS);
    }
}
