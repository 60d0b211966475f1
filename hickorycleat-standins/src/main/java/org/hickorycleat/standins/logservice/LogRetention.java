package org.hickorycleat.standins.logservice;

/**
 * Retention bounds of a stream; a record that exceeds either bound is removed.
 *
 * @param maximumRecords maximum number of records per stream
 * @param maximumAgeMs maximum age of records in milliseconds
 */
public record LogRetention(int maximumRecords, long maximumAgeMs) {
    /** Keeps every record. */
    public static final LogRetention UNLIMITED =
            new LogRetention(Integer.MAX_VALUE, Long.MAX_VALUE);
}
