package org.hickorycleat.logic.evacuation;

/**
 * Share of its processors that a worker gets work for while it is cold, after its start or after
 * its zone was taken back.
 *
 * <p>Load pattern: all workers of a zone come back at once, empty and slow, while work queues.
 * Their empty processors would attract every waiting task. The share grows evenly with the time,
 * from a quarter to the whole.
 */
public final class WarmUp {
    private static final double INITIAL_SHARE = 0.25;

    private long mSequence = -1;
    private long mWarmAtMs = Long.MIN_VALUE;
    private long mDurationMs;

    /** Resets the state for a new incarnation of the worker. */
    public void reset() {
        mSequence = -1;
        mWarmAtMs = Long.MIN_VALUE;
        mDurationMs = 0;
    }

    /**
     * Handles a description of the worker; one that was handled before has no effect.
     *
     * @param sequence number of the description, which increases
     * @param coldRemainingMs time for which the worker remains slow, in milliseconds
     */
    public void onDescribed(long sequence, long coldRemainingMs, long nowMs) {
        if (sequence <= mSequence) {
            return;
        }
        mSequence = sequence;
        boolean startsAgain = nowMs >= mWarmAtMs;
        mWarmAtMs = coldRemainingMs <= 0 ? Long.MIN_VALUE : nowMs + coldRemainingMs;
        mDurationMs = startsAgain ? coldRemainingMs : Math.max(mDurationMs, coldRemainingMs);
    }

    /** Returns the share of the processors for which the worker gets work, up to 1. */
    public double share(long nowMs) {
        if (nowMs >= mWarmAtMs) {
            return 1;
        }
        double remaining = (double) (mWarmAtMs - nowMs) / mDurationMs;
        return 1 - remaining * (1 - INITIAL_SHARE);
    }

    /**
     * Returns whether the worker may get another task as far as its share goes; an empty worker
     * always may. A warm worker has no limit here, since best-effort tasks may request more
     * processors than it has.
     */
    public boolean mayTake(long usedMilli, long requestedMilli, long capacityMilli, long nowMs) {
        return nowMs >= mWarmAtMs
                || usedMilli == 0
                || usedMilli + requestedMilli <= share(nowMs) * capacityMilli;
    }
}
