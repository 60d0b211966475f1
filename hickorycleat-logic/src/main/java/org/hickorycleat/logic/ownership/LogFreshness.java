package org.hickorycleat.logic.ownership;

/** Tracks how recent the state read from the log is and how long its owner has been inactive. */
final class LogFreshness {
    /** A read waits at most 1 s for records; 2 s without a response mean that the log is down. */
    private static final long READ_TIMEOUT_MS = 2_000;

    private long mCurrentAsOfMs = Long.MIN_VALUE / 2;
    private long mLastResponseMs = Long.MIN_VALUE / 2;
    private long mReadableSinceMs;
    private long mOwnerActivityMs;
    private boolean mAtEnd;

    void onRead(boolean atEnd, long requestedMs, long nowMs) {
        if (!readable(nowMs)) {
            mReadableSinceMs = nowMs;
        }
        mLastResponseMs = nowMs;
        mAtEnd = atEnd;
        if (atEnd) {
            mCurrentAsOfMs = Math.max(mCurrentAsOfMs, requestedMs);
        }
    }

    void onReadFailed() {
        mLastResponseMs = Long.MIN_VALUE / 2;
    }

    void onOwnerActivity(long nowMs) {
        mOwnerActivityMs = nowMs;
    }

    boolean readable(long nowMs) {
        return nowMs - mLastResponseMs <= READ_TIMEOUT_MS;
    }

    boolean isAtEnd(long nowMs) {
        return mAtEnd && readable(nowMs);
    }

    /** Returns the latest scheduler time at which the state was known to be current. */
    long currentAsOfMs() {
        return mCurrentAsOfMs;
    }

    boolean isOwnerInactiveFor(long durationMs, long nowMs) {
        return isAtEnd(nowMs) && nowMs - Math.max(mOwnerActivityMs, mReadableSinceMs) >= durationMs;
    }
}
