package org.hickorycleat.standins.logservice;

/**
 * How long records are kept; a record that exceeds either bound is dropped.
 *
 * @param maximumRecords records kept per stream
 * @param maximumAgeMs age in milliseconds up to which records are kept
 */
public record LogRetention(int maximumRecords, long maximumAgeMs) {
    /** Keeps every record. */
    public static final LogRetention UNLIMITED =
            new LogRetention(Integer.MAX_VALUE, Long.MAX_VALUE);
}
