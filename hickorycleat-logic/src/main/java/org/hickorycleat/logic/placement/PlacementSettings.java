package org.hickorycleat.logic.placement;

/**
 * Limits and delays of the default policy.
 *
 * @param maximumStarts largest number of starts in one call; bounds the time of a call in a burst
 * @param maximumEvictionPlans largest number of tasks for which one call plans evictions
 * @param backfillDepth number of batch tasks that one call considers, in priority order
 * @param orderingChunkSize number of pending batch tasks that one call reads to order them; reading
 *     a queue of 18,000 tasks in one call takes 15 to 30 ms
 * @param neverRunnableDelayMs time after the first call before a task is rejected as never
 *     runnable; an agent is considered disconnected after 10 s, so every live worker has reported
 *     by then
 * @param reservationDelayMs time that a batch task waits before a worker may be reserved for it
 * @param urgentWaitLimitMs time since submission within which resources must become free without an
 *     eviction for a high-priority task to wait for them; the rest of its 10 s is left for a
 *     checkpoint and a stop
 */
public record PlacementSettings(
        int maximumStarts,
        int maximumEvictionPlans,
        int backfillDepth,
        int orderingChunkSize,
        long neverRunnableDelayMs,
        long reservationDelayMs,
        long urgentWaitLimitMs) {
    /** Returns the same settings with another reservation delay. */
    public PlacementSettings withReservationDelayMs(long newReservationDelayMs) {
        return new PlacementSettings(
                maximumStarts,
                maximumEvictionPlans,
                backfillDepth,
                orderingChunkSize,
                neverRunnableDelayMs,
                newReservationDelayMs,
                urgentWaitLimitMs);
    }

    /** The default settings. */
    public static final PlacementSettings DEFAULT =
            new PlacementSettings(200, 16, 512, 500, 10_000, 600_000, 4_000);
}
