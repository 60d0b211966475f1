package org.hickorycleat.standins.logservice;

import java.util.function.LongSupplier;

/** Token bucket whose burst is limited to the appends of a tenth of a second. */
final class AppendLimiter {
    private final LongSupplier mNanoClock;
    private double mTokens;
    private long mRefilledAtNanos;

    AppendLimiter(LongSupplier nanoClock) {
        mNanoClock = nanoClock;
        mRefilledAtNanos = nanoClock.getAsLong();
    }

    synchronized boolean tryAcquire(int limitPerSecond) {
        if (limitPerSecond == 0) {
            return true;
        }
        long nowNanos = mNanoClock.getAsLong();
        double refilled = mTokens + (nowNanos - mRefilledAtNanos) / 1e9 * limitPerSecond;
        mRefilledAtNanos = nowNanos;
        mTokens = Math.min(refilled, Math.max(1, limitPerSecond / 10.0));
        if (mTokens < 1) {
            return false;
        }
        mTokens -= 1;
        return true;
    }
}
