package org.hickorycleat.logic.log;

import java.util.Random;

/**
 * Pauses between tries: doubled each time up to a maximum, each drawn from the upper half so that
 * processes that failed together do not come back together.
 *
 * @param firstMs first pause in milliseconds
 * @param maximumMs longest pause in milliseconds
 */
public record ExponentialBackoff(long firstMs, long maximumMs) {
    /** The longest pause stays well below the 3 s in which a configuration must take effect. */
    public static final ExponentialBackoff DEFAULT = new ExponentialBackoff(50, 1_000);

    private static final int MAXIMUM_DOUBLINGS = 30;

    /** Checks the range. */
    public ExponentialBackoff {
        if (firstMs < 1 || maximumMs < firstMs) {
            throw new IllegalArgumentException("pauses of " + firstMs + " to " + maximumMs + " ms");
        }
    }

    /** Returns the pause after the given number of failures in a row, counted from 1. */
    public long pauseMs(int failures, Random random) {
        long doubled = firstMs << Math.min(failures - 1, MAXIMUM_DOUBLINGS);
        long longest = doubled <= 0 ? maximumMs : Math.min(doubled, maximumMs);
        long shortest = longest / 2;
        return shortest + (long) (random.nextDouble() * (longest - shortest + 1));
    }
}
