package org.hickorycleat.logic.admission;

/**
 * Decides whether a class or team may exceed its share with one more request.
 *
 * <p>Random arrivals within a share exceed it for moments; a share without tolerance would reject a
 * tenth of a load that stays within it on average.
 */
final class BurstTolerance {
    /** Tolerated deviation above the share, in standard deviations of Poisson arrivals. */
    private static final double TOLERATED_DEVIATIONS = 3;

    /** Tolerated ratio of the average to the share. */
    private static final double MEAN_TOLERANCE = 1.05;

    private BurstTolerance() {}

    static boolean allowsRequest(Usage usage, double share, long nowMs) {
        if (usage.inFlight() + 1 <= share) {
            return true;
        }
        return usage.meanInFlight(nowMs) <= share * MEAN_TOLERANCE
                && usage.inFlight() + 1 <= share + TOLERATED_DEVIATIONS * Math.sqrt(share);
    }
}
