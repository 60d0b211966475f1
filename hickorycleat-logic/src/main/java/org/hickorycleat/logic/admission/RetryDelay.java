package org.hickorycleat.logic.admission;

import java.util.SplittableRandom;

/**
 * Computes the retry delay advised to rejected callers, with jitter and proportional to the
 * overload.
 */
final class RetryDelay {
    private static final double MINIMUM_JITTER = 0.5;

    private final AdmissionSettings mSettings;
    private final SplittableRandom mRandom;

    RetryDelay(AdmissionSettings settings, long seed) {
        mSettings = settings;
        mRandom = new SplittableRandom(seed);
    }

    synchronized long nextDelayMs(double overload) {
        double jitter = MINIMUM_JITTER + mRandom.nextDouble();
        long delayMs = Math.round(mSettings.retryBaseMs() * overload * jitter);
        return Math.max(1, Math.min(mSettings.retryMaximumMs(), delayMs));
    }
}
