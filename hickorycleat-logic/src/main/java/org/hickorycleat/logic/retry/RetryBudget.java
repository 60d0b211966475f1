package org.hickorycleat.logic.retry;

import java.util.concurrent.atomic.AtomicLong;

/**
 * Token bucket that limits retries to a share of the requests.
 *
 * <p>Without it, retries multiply the load just when targets fail or are full.
 */
public final class RetryBudget {
    private static final long TOKEN = 1_000;
    private static final long DEFAULT_PERMILLE = 100;
    private static final long DEFAULT_BURST = 10;

    private final long mPermille;
    private final long mCapacity;
    private final AtomicLong mTokens;

    /**
     * Creates a full bucket.
     *
     * @param permille retries allowed per thousand requests
     * @param burst retries allowed at once after a time without any
     */
    public RetryBudget(long permille, long burst) {
        mPermille = permille;
        mCapacity = burst * TOKEN;
        mTokens = new AtomicLong(mCapacity);
    }

    /** Returns a bucket for 10% of the requests. */
    public static RetryBudget standard() {
        return new RetryBudget(DEFAULT_PERMILLE, DEFAULT_BURST);
    }

    /** Counts a request that a caller sent. */
    public void countRequest() {
        add(mPermille);
    }

    /** Takes one retry out of the budget; false when there is none left. */
    public boolean tryRetry() {
        return mTokens.getAndUpdate(tokens -> tokens >= TOKEN ? tokens - TOKEN : tokens) >= TOKEN;
    }

    /** Gives back a retry that was not made. */
    public void refund() {
        add(TOKEN);
    }

    private void add(long tokens) {
        mTokens.updateAndGet(old -> Math.min(mCapacity, old + tokens));
    }
}
