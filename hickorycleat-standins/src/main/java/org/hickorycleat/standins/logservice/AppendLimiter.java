package org.hickorycleat.standins.logservice;

import java.util.function.LongSupplier;

/** Token bucket that holds at most a tenth of a second's worth of appends. */
final class AppendLimiter {
    private final LongSupplier mNanoClock;
    private double mTokens;
    private long mFilledAtNanos;

    AppendLimiter(LongSupplier nanoClock) {
        mNanoClock = nanoClock;
        mFilledAtNanos = nanoClock.getAsLong();
    }

    synchronized boolean tryAcquire(int limitPerSecond) {
        if (limitPerSecond == 0) {
            return true;
        }
        long now = mNanoClock.getAsLong();
        double filled = mTokens + (now - mFilledAtNanos) / 1e9 * limitPerSecond;
        mFilledAtNanos = now;
        mTokens = Math.min(filled, Math.max(1, limitPerSecond / 10.0));
        if (mTokens < 1) {
            return false;
        }
        mTokens -= 1;
        return true;
    }
}
