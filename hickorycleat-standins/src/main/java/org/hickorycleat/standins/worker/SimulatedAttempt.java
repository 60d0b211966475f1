package org.hickorycleat.standins.worker;

import java.util.Optional;
import org.hickorycleat.model.task.Resources;
import org.hickorycleat.model.task.TaskState;

/**
 * An attempt of a task whose work is a timer.
 *
 * <p>Its progress is the run time completed so far, which grows more slowly while it is throttled.
 */
final class SimulatedAttempt {
    private final AttemptKey mKey;
    private final Resources mResources;
    private final long mRunTimeMs;
    private TaskState mState;
    private long mLeaseUntilMs;
    private long mProgressMs;
    private long mProgressUpdatedMs;
    private int mThrottlePermille = 1000;
    private long mCheckpointedProgressMs;
    private Optional<String> mCheckpoint = Optional.empty();
    private long mEndedMs = Long.MAX_VALUE;

    SimulatedAttempt(
            AttemptKey key,
            Resources resources,
            long runTimeMs,
            long leaseUntilMs,
            TaskState state) {
        mKey = key;
        mResources = resources;
        mRunTimeMs = runTimeMs;
        mLeaseUntilMs = leaseUntilMs;
        mState = state;
    }

    void resume(long progressMs, long nowMs) {
        mProgressMs = progressMs;
        mProgressUpdatedMs = nowMs;
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
        return isRunning()
                ? mProgressMs + (nowMs - mProgressUpdatedMs) * mThrottlePermille / 1000
                : mProgressMs;
    }

    /**
     * Returns the time at which the attempt completes if its throttle does not change and it is not
     * stopped before.
     */
    long completionMs() {
        if (mRunTimeMs == Long.MAX_VALUE) {
            return Long.MAX_VALUE;
        }
        return mProgressUpdatedMs
                + Math.max(0, mRunTimeMs - mProgressMs) * 1000 / mThrottlePermille;
    }

    void throttle(int permille, long nowMs) {
        mProgressMs = progressMs(nowMs);
        mProgressUpdatedMs = nowMs;
        mThrottlePermille = permille;
    }

    int throttlePermille() {
        return mThrottlePermille;
    }

    void saveCheckpoint(long nowMs) {
        mCheckpointedProgressMs = progressMs(nowMs);
        mCheckpoint = Optional.of(mKey.task() + "@" + mCheckpointedProgressMs);
    }

    Optional<String> checkpoint() {
        return mCheckpoint;
    }

    long checkpointedProgressMs() {
        return mCheckpointedProgressMs;
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
