package org.hickorycleat.logic.places;

import java.util.OptionalLong;

/**
 * What is known of a run for the estimate of its end. All times are in milliseconds of the clock of
 * the owner.
 *
 * @param durationMs expected duration of the whole run, in milliseconds
 * @param startedAtMs when the owner sent the start; empty if another owner did
 * @param sampledAtMs when the last sample arrived; empty before the first one
 * @param percent progress in the last sample
 * @param remainingMs remaining time at the pace of the run itself; empty while that is not known
 */
public record RunEstimate(
        double durationMs,
        OptionalLong startedAtMs,
        OptionalLong sampledAtMs,
        int percent,
        OptionalLong remainingMs) {
    private static final double FULL_PERCENT = 100;

    /**
     * Returns the expected end. A run that is overdue by some time is expected to last for as long
     * again.
     */
    public long expectedEndMs(long nowMs) {
        long endMs = Math.round(expectedEnd(nowMs));
        return endMs > nowMs ? endMs : nowMs + (nowMs - endMs);
    }

    private double expectedEnd(long nowMs) {
        if (sampledAtMs.isPresent()) {
            double sampledRemainingMs =
                    remainingMs.isPresent()
                            ? remainingMs.getAsLong()
                            : durationMs * (FULL_PERCENT - percent) / FULL_PERCENT;
            return sampledAtMs.getAsLong() + sampledRemainingMs;
        }
        return startedAtMs.orElse(nowMs) + durationMs;
    }
}
