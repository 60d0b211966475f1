package org.hickorycleat.logic.placement;

/**
 * Limits of the default policy.
 *
 * @param maximumStarts starts in one call; bounds the time of a call in a burst
 * @param maximumEvictionPlans urgent tasks for which one call may plan evictions
 * @param backfillDepth batch tasks that are considered behind the head in one call
 * @param orderSlice waiting batch tasks that one call reads to order them; reading a queue of
 *     18,000 in one call took 15 to 30 ms
 * @param fleetSettleMs time after the first call before a task is rejected as never runnable; an
 *     agent counts as gone after 10 s, so by then every live worker has reported
 * @param reservationDelayMs time that a batch task waits before it may have room reserved
 * @param urgentWaitMs time since submission within which room must come free by itself for urgent
 *     work to wait for it; the rest of its 10 s is left for a checkpoint and a stop
 */
public record PlacementSettings(
        int maximumStarts,
        int maximumEvictionPlans,
        int backfillDepth,
        int orderSlice,
        long fleetSettleMs,
        long reservationDelayMs,
        long urgentWaitMs) {
    /** Returns the same limits with another time before reservations. */
    public PlacementSettings withReservationDelayMs(long newReserveAfterMs) {
        return new PlacementSettings(
                maximumStarts,
                maximumEvictionPlans,
                backfillDepth,
                orderSlice,
                fleetSettleMs,
                newReserveAfterMs,
                urgentWaitMs);
    }

    /** The default limits. */
    public static final PlacementSettings DEFAULT =
            new PlacementSettings(200, 16, 512, 500, 10_000, 600_000, 4_000);
}
