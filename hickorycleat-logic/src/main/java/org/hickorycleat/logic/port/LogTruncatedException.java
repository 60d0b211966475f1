package org.hickorycleat.logic.port;

/** Thrown if the requested offset is older than the retention of the log service. */
public final class LogTruncatedException extends Exception {
    private final long mFirstOffset;

    /** Creates the exception. */
    public LogTruncatedException(long firstOffset) {
        super("requested offset was truncated; first retained offset is " + firstOffset);
        mFirstOffset = firstOffset;
    }

    /** Returns the oldest offset that is still retained. */
    public long firstOffset() {
        return mFirstOffset;
    }
}
