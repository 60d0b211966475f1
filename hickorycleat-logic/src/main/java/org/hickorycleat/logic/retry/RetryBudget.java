package org.hickorycleat.logic.retry;

import java.util.concurrent.atomic.AtomicLong;

/**
 * Token bucket that limits retries to a share of the requests.
 *
 * <p>Without a budget, retries would multiply the load when targets fail or are overloaded.
 */
public final class RetryBudget {
    private static final long MILLITOKENS_PER_RETRY = 1_000;
    private static final long DEFAULT_PERMILLE = 100;
    private static final long DEFAULT_BURST_RETRIES = 10;

    private final long mPermille;
    private final long mCapacityMillitokens;
    private final AtomicLong mMillitokens;

    /**
     * Creates a budget with a full bucket.
     *
     * @param permille retries allowed per thousand requests
     * @param burst retries allowed at once after a period without retries
     */
    public RetryBudget(long permille, long burst) {
        mPermille = permille;
        mCapacityMillitokens = burst * MILLITOKENS_PER_RETRY;
        mMillitokens = new AtomicLong(mCapacityMillitokens);
    }

    /** Returns a budget for retries of 10% of the requests. */
    public static RetryBudget standard() {
        return new RetryBudget(DEFAULT_PERMILLE, DEFAULT_BURST_RETRIES);
    }

    /** Adds the share of a retry for a request from a caller. */
    public void recordRequest() {
        add(mPermille);
    }

    /** Takes one retry from the budget; returns false if none is left. */
    public boolean tryAcquire() {
        return mMillitokens.getAndUpdate(
                        millitokens ->
                                millitokens >= MILLITOKENS_PER_RETRY
                                        ? millitokens - MILLITOKENS_PER_RETRY
                                        : millitokens)
                >= MILLITOKENS_PER_RETRY;
    }

    /** Returns a retry that was not made to the budget. */
    public void refund() {
        add(MILLITOKENS_PER_RETRY);
    }

    private void add(long millitokens) {
        mMillitokens.updateAndGet(old -> Math.min(mCapacityMillitokens, old + millitokens));
    }
}
