package org.hickorycleat.logic.admission;

import java.util.SplittableRandom;

/** Advises refused callers when to retry, spread over a time that grows with the overload. */
final class RetryDelay {
    private static final double LEAST_JITTER = 0.5;

    private final AdmissionSettings mSettings;
    private final SplittableRandom mRandom;

    RetryDelay(AdmissionSettings settings, long seed) {
        mSettings = settings;
        mRandom = new SplittableRandom(seed);
    }

    synchronized long afterMs(double overload) {
        double jitter = LEAST_JITTER + mRandom.nextDouble();
        long delayMs = Math.round(mSettings.retryBaseMs() * overload * jitter);
        return Math.max(1, Math.min(mSettings.retryMaximumMs(), delayMs));
    }
}
