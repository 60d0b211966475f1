package org.hickorycleat.logic.configuration;

import java.time.Duration;

/**
 * Conditions under which a snapshot of the current manifest is appended.
 *
 * @param maximumAge age of the latest snapshot in the log at which another is due
 * @param maximumRecords number of records after the latest snapshot at which another is due
 * @param startDelay maximum delay after process start, when the age of the latest snapshot is
 *     unknown
 */
public record SnapshotPolicy(Duration maximumAge, long maximumRecords, Duration startDelay) {
    private static final Duration MAXIMUM_START_DELAY = Duration.ofSeconds(10);

    /**
     * Returns the policy for a retention. Snapshots at half of it leave the other half for outages
     * of the log and for processes that start slowly.
     */
    public static SnapshotPolicy forRetention(Duration age, long records) {
        Duration half = age.dividedBy(2);
        Duration startDelay = half.dividedBy(4);
        return new SnapshotPolicy(
                half,
                Math.max(1, records / 2),
                startDelay.compareTo(MAXIMUM_START_DELAY) < 0 ? startDelay : MAXIMUM_START_DELAY);
    }
}
