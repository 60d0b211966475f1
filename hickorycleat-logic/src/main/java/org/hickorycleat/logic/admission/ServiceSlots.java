package org.hickorycleat.logic.admission;

/**
 * Capacity of a service as one entry sees it.
 *
 * @param slots slots of all usable targets
 * @param freeSlots slots without a request, old signals discounted
 * @param queued requests that wait at the agents
 * @param liveEntries entries that share the slots
 */
public record ServiceSlots(int slots, int freeSlots, int queued, int liveEntries) {
    /** Returns this entry's equal share of the slots, rounded up. */
    public int share() {
        return (slots + liveEntries - 1) / liveEntries;
    }
}
