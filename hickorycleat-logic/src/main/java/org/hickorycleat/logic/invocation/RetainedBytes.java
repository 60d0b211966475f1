package org.hickorycleat.logic.invocation;

import java.util.concurrent.atomic.AtomicLong;

/** Memory budget of retained responses. */
final class RetainedBytes {
    private final long mMaximum;
    private final AtomicLong mUsed = new AtomicLong();

    RetainedBytes(long maximum) {
        mMaximum = maximum;
    }

    boolean hasCapacityFor(long bytes) {
        return mUsed.get() + bytes <= mMaximum;
    }

    void add(long bytes) {
        mUsed.addAndGet(bytes);
    }

    void subtract(long bytes) {
        mUsed.addAndGet(-bytes);
    }

    long used() {
        return mUsed.get();
    }
}
