package org.hickorycleat.logic.dispatch;

/**
 * Quarantines a worker on which tasks keep failing, and later probes it with single tasks.
 *
 * <p>A faulty task fails on other workers too, so a worker is quarantined only after several
 * consecutive failures.
 */
final class WorkerHealth {
    /** Number of consecutive failures after which a worker is quarantined. */
    private static final int FAILURE_LIMIT = 3;

    /** Duration of the first quarantine, in milliseconds; doubled with each further one. */
    private static final long INITIAL_QUARANTINE_MS = 2_000;

    private static final long MAXIMUM_QUARANTINE_MS = 8_000;

    private int mConsecutiveFailures;
    private long mQuarantineMs = INITIAL_QUARANTINE_MS;
    private long mQuarantinedUntilMs = Long.MIN_VALUE;
    private boolean mProbing;

    /** Resets the state for a new incarnation of the worker. */
    void reset() {
        mConsecutiveFailures = 0;
        mQuarantineMs = INITIAL_QUARANTINE_MS;
        mQuarantinedUntilMs = Long.MIN_VALUE;
        mProbing = false;
    }

    /** Records a task that succeeded. */
    void onSuccess() {
        mConsecutiveFailures = 0;
        mQuarantineMs = INITIAL_QUARANTINE_MS;
        mProbing = false;
    }

    /**
     * Records a failed task.
     *
     * @return whether this quarantines the worker
     */
    boolean onFailure(long nowMs) {
        mConsecutiveFailures++;
        if (mConsecutiveFailures < FAILURE_LIMIT && !mProbing) {
            return false;
        }
        return quarantine(nowMs);
    }

    /** Quarantines the worker; returns false if it already is. */
    boolean quarantine(long nowMs) {
        if (nowMs < mQuarantinedUntilMs) {
            return false;
        }
        mQuarantinedUntilMs = nowMs + mQuarantineMs;
        mQuarantineMs = Math.min(MAXIMUM_QUARANTINE_MS, 2 * mQuarantineMs);
        mProbing = true;
        return true;
    }

    /**
     * Returns whether another task may start on a worker that has the given number of finite runs.
     */
    boolean mayStart(long nowMs, int finiteRuns) {
        if (nowMs < mQuarantinedUntilMs) {
            return false;
        }
        return !mProbing || finiteRuns == 0;
    }

    boolean isSuspect(long nowMs) {
        return nowMs < mQuarantinedUntilMs || mProbing || mConsecutiveFailures > 0;
    }
}
