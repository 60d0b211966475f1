package org.hickorycleat.logic.admission;

/**
 * Tells whether one more request fits into a share.
 *
 * <p>Random arrivals within a share exceed it for moments; a share without tolerance would refuse a
 * tenth of a load that stays within it on average.
 */
final class Burst {
    /** Standard deviations of random arrivals that are tolerated. */
    private static final double DEVIATIONS = 3;

    /** Tolerance of the average. */
    private static final double MEAN_TOLERANCE = 1.05;

    private Burst() {}

    static boolean fits(Usage usage, double share, long nowMs) {
        if (usage.inFlight() + 1 <= share) {
            return true;
        }
        return usage.mean(nowMs) <= share * MEAN_TOLERANCE
                && usage.inFlight() + 1 <= share + DEVIATIONS * Math.sqrt(share);
    }
}
