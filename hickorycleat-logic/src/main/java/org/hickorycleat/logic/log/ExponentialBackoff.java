package org.hickorycleat.logic.log;

import java.util.Random;

/**
 * Exponential backoff with jitter: the delay doubles with each failure up to a maximum and is drawn
 * from its upper half, so that processes that failed together do not retry together.
 *
 * @param initialMs initial delay in milliseconds
 * @param maximumMs maximum delay in milliseconds
 */
public record ExponentialBackoff(long initialMs, long maximumMs) {
    /** The maximum delay stays well below the 3 s in which a configuration must become active. */
    public static final ExponentialBackoff DEFAULT = new ExponentialBackoff(50, 1_000);

    private static final int MAXIMUM_DOUBLINGS = 30;

    /** Checks the range of the delays. */
    public ExponentialBackoff {
        if (initialMs < 1 || maximumMs < initialMs) {
            throw new IllegalArgumentException(
                    "invalid backoff delays: " + initialMs + " to " + maximumMs + " ms");
        }
    }

    /**
     * Returns the delay in milliseconds after the given number of consecutive failures, counted
     * from 1.
     */
    public long pauseMs(int failures, Random random) {
        long doubled = initialMs << Math.min(failures - 1, MAXIMUM_DOUBLINGS);
        long longest = doubled <= 0 ? maximumMs : Math.min(doubled, maximumMs);
        long shortest = longest / 2;
        return shortest + (long) (random.nextDouble() * (longest - shortest + 1));
    }
}
