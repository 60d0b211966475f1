package org.hickorycleat.logic.configuration;

import java.time.Duration;

/**
 * When the current manifest is appended again.
 *
 * @param maximumAge age of the newest copy in the log at which it is due
 * @param maximumRecords records after the newest copy at which it is due
 * @param startDelay longest delay after the start, when the age of the newest copy is unknown
 */
public record SnapshotPolicy(Duration maximumAge, long maximumRecords, Duration startDelay) {
    private static final Duration LONGEST_START_DELAY = Duration.ofSeconds(10);

    /**
     * Returns the policy for a retention: copies at half of it leave the other half for outages of
     * the log and for processes that take their time to start.
     */
    public static SnapshotPolicy forRetention(Duration age, long records) {
        Duration half = age.dividedBy(2);
        Duration startDelay = half.dividedBy(4);
        return new SnapshotPolicy(
                half,
                Math.max(1, records / 2),
                startDelay.compareTo(LONGEST_START_DELAY) < 0 ? startDelay : LONGEST_START_DELAY);
    }
}
