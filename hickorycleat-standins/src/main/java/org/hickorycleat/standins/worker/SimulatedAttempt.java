package org.hickorycleat.standins.worker;

import java.util.Optional;
import org.hickorycleat.model.task.Resources;
import org.hickorycleat.model.task.TaskState;

/** An attempt of a task; progress is run time, slowed down by throttling. */
final class SimulatedAttempt {
    private final AttemptKey mKey;
    private final Resources mResources;
    private final long mRunMs;
    private TaskState mState;
    private long mLeaseUntilMs;
    private long mProgressMs;
    private long mProgressAtMs;
    private int mPermille = 1000;
    private long mSavedMs;
    private Optional<String> mCheckpoint = Optional.empty();
    private long mEndedMs = Long.MAX_VALUE;

    SimulatedAttempt(
            AttemptKey key, Resources resources, long runMs, long leaseUntilMs, TaskState state) {
        mKey = key;
        mResources = resources;
        mRunMs = runMs;
        mLeaseUntilMs = leaseUntilMs;
        mState = state;
    }

    void resume(long progressMs, long nowMs) {
        mProgressMs = progressMs;
        mProgressAtMs = nowMs;
    }

    AttemptKey key() {
        return mKey;
    }

    Resources resources() {
        return mResources;
    }

    TaskState state() {
        return mState;
    }

    boolean isRunning() {
        return mState == TaskState.RUNNING;
    }

    long leaseUntilMs() {
        return mLeaseUntilMs;
    }

    void renew(long untilMs) {
        mLeaseUntilMs = Math.max(mLeaseUntilMs, untilMs);
    }

    long progressMs(long nowMs) {
        return isRunning() ? mProgressMs + (nowMs - mProgressAtMs) * mPermille / 1000 : mProgressMs;
    }

    /** Returns when the run ends unless it is throttled or stopped before. */
    long finishMs() {
        if (mRunMs == Long.MAX_VALUE) {
            return Long.MAX_VALUE;
        }
        return mProgressAtMs + Math.max(0, mRunMs - mProgressMs) * 1000 / mPermille;
    }

    void throttle(int permille, long nowMs) {
        mProgressMs = progressMs(nowMs);
        mProgressAtMs = nowMs;
        mPermille = permille;
    }

    int permille() {
        return mPermille;
    }

    void save(long nowMs) {
        mSavedMs = progressMs(nowMs);
        mCheckpoint = Optional.of(mKey.task() + "@" + mSavedMs);
    }

    Optional<String> checkpoint() {
        return mCheckpoint;
    }

    long savedMs() {
        return mSavedMs;
    }

    void end(TaskState state, long atMs) {
        mProgressMs = progressMs(atMs);
        mState = state;
        mEndedMs = atMs;
    }

    long endedMs() {
        return mEndedMs;
    }
}
