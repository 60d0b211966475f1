package org.hickorycleat.logic.port;

/** The offset asked for is older than the retention of the log service. */
public final class LogTruncatedException extends Exception {
    private final long mFirstOffset;

    /** Creates the exception. */
    public LogTruncatedException(long firstOffset) {
        super("first kept offset is " + firstOffset);
        mFirstOffset = firstOffset;
    }

    /** Returns the oldest offset that is still kept. */
    public long firstOffset() {
        return mFirstOffset;
    }
}
