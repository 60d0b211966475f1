package org.hickorycleat.standins.logservice;

/**
 * How long records are kept; a record that exceeds either bound is dropped.
 *
 * @param records records kept per stream
 * @param ageMs age in milliseconds up to which records are kept
 */
public record LogRetention(int records, long ageMs) {
    /** Keeps every record. */
    public static final LogRetention UNLIMITED =
            new LogRetention(Integer.MAX_VALUE, Long.MAX_VALUE);
}
