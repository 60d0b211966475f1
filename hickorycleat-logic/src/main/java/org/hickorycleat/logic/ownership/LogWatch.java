package org.hickorycleat.logic.ownership;

/** How recent the state read from the log is, and how long its owner has been silent. */
final class LogWatch {
    /** A read waits at most 1 s for records; 2 s without an answer mean that the log is down. */
    private static final long SILENCE_MS = 2_000;

    private long mCurrentAsOfMs = Long.MIN_VALUE / 2;
    private long mLastAnswerMs = Long.MIN_VALUE / 2;
    private long mReadableSinceMs;
    private long mOwnerSignMs;
    private boolean mAtEnd;

    void read(boolean atEnd, long requestedMs, long nowMs) {
        if (!readable(nowMs)) {
            mReadableSinceMs = nowMs;
        }
        mLastAnswerMs = nowMs;
        mAtEnd = atEnd;
        if (atEnd) {
            mCurrentAsOfMs = Math.max(mCurrentAsOfMs, requestedMs);
        }
    }

    void failed() {
        mLastAnswerMs = Long.MIN_VALUE / 2;
    }

    void ownerSign(long nowMs) {
        mOwnerSignMs = nowMs;
    }

    boolean readable(long nowMs) {
        return nowMs - mLastAnswerMs <= SILENCE_MS;
    }

    boolean atEnd(long nowMs) {
        return mAtEnd && readable(nowMs);
    }

    /** Returns the latest time at which the state was certainly that of the end of the log. */
    long currentAsOfMs() {
        return mCurrentAsOfMs;
    }

    boolean ownerSilentFor(long durationMs, long nowMs) {
        return atEnd(nowMs) && nowMs - Math.max(mOwnerSignMs, mReadableSinceMs) >= durationMs;
    }
}
