package org.hickorycleat.logic.places;

/**
 * Counts of tasks that want a rack.
 *
 * @param begun number of waits that began
 * @param nearStarts number of starts in the wanted rack
 * @param farStarts number of starts elsewhere
 * @param waitedMs sum of the durations of the waits that ended, in milliseconds
 */
public record WaitCounters(long begun, long nearStarts, long farStarts, long waitedMs) {
    /** No event. */
    public static final WaitCounters NONE = new WaitCounters(0, 0, 0, 0);

    WaitCounters withBegun() {
        return new WaitCounters(begun + 1, nearStarts, farStarts, waitedMs);
    }

    WaitCounters withNearStart() {
        return new WaitCounters(begun, nearStarts + 1, farStarts, waitedMs);
    }

    WaitCounters withFarStart() {
        return new WaitCounters(begun, nearStarts, farStarts + 1, waitedMs);
    }

    WaitCounters withWaited(long milliseconds) {
        return new WaitCounters(begun, nearStarts, farStarts, waitedMs + milliseconds);
    }
}
