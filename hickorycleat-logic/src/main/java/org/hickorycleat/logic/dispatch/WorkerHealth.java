package org.hickorycleat.logic.dispatch;

/**
 * Sets a worker aside that fails what it starts, and tries it again with single tasks.
 *
 * <p>A task that fails by its own fault fails on other workers too; a worker is suspected only
 * after several failures in a row.
 */
final class WorkerHealth {
    /** Failures in a row after which a worker is set aside. */
    private static final int FAILURE_LIMIT = 3;

    /** First time that a worker is set aside, in milliseconds; doubled with each further one. */
    private static final long FIRST_PAUSE_MS = 2_000;

    private static final long LONGEST_PAUSE_MS = 8_000;

    private int mFailuresInRow;
    private long mPauseMs = FIRST_PAUSE_MS;
    private long mAsideUntilMs = Long.MIN_VALUE;
    private boolean mOnProbation;

    /** A new life of the worker starts without suspicion. */
    void reset() {
        mFailuresInRow = 0;
        mPauseMs = FIRST_PAUSE_MS;
        mAsideUntilMs = Long.MIN_VALUE;
        mOnProbation = false;
    }

    /** A task ended well. */
    void onSuccess() {
        mFailuresInRow = 0;
        mPauseMs = FIRST_PAUSE_MS;
        mOnProbation = false;
    }

    /**
     * A task failed.
     *
     * @return whether the worker is set aside by this
     */
    boolean onFailure(long nowMs) {
        mFailuresInRow++;
        if (mFailuresInRow < FAILURE_LIMIT && !mOnProbation) {
            return false;
        }
        return setAside(nowMs);
    }

    /** Sets the worker aside; returns false when it already is. */
    boolean setAside(long nowMs) {
        if (nowMs < mAsideUntilMs) {
            return false;
        }
        mAsideUntilMs = nowMs + mPauseMs;
        mPauseMs = Math.min(LONGEST_PAUSE_MS, 2 * mPauseMs);
        mOnProbation = true;
        return true;
    }

    /** Tells whether a further task may start beside the given number of runs. */
    boolean mayStart(long nowMs, int startedRuns) {
        if (nowMs < mAsideUntilMs) {
            return false;
        }
        return !mOnProbation || startedRuns == 0;
    }

    boolean isSuspect(long nowMs) {
        return nowMs < mAsideUntilMs || mOnProbation || mFailuresInRow > 0;
    }
}
