package org.hickorycleat.logic.admission;

/**
 * Capacity of a service as one entry sees it.
 *
 * @param slots slots of all usable targets
 * @param freeSlots free slots, discounted by the age of the load signals
 * @param queued requests queued at the agents
 * @param liveEntries entries that share the slots
 */
public record ServiceCapacity(int slots, int freeSlots, int queued, int liveEntries) {
    /** Returns this entry's equal share of the slots, rounded up. */
    public int share() {
        return (slots + liveEntries - 1) / liveEntries;
    }
}
