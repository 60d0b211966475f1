package org.hickorycleat.logic.routing;

import org.hickorycleat.logic.membership.TargetView;

/** A ready target with the statistics that this entry keeps of it. */
record Route(TargetView view, TargetStatistics statistics) {
    /** Returns the share of the slots that this entry may use, at least 1. */
    int slotShare(int liveEntries) {
        return Math.max(1, (view.slots() + liveEntries - 1) / liveEntries);
    }

    /**
     * Returns the requests that this entry may have in flight, including its share of the queue.
     */
    int inFlightLimit(int liveEntries) {
        int slotShare = slotShare(liveEntries);
        int queueShare = Math.max(0, view.connections() - view.slots()) / liveEntries;
        return slotShare + Math.min(queueShare, slotShare);
    }

    boolean hasCapacity(int liveEntries) {
        return statistics.inFlight() < inFlightLimit(liveEntries);
    }

    boolean hasFreeSlot(int liveEntries, long nowMs) {
        return statistics.inFlight() < slotShare(liveEntries)
                && statistics.load(nowMs) < view.slots();
    }

    boolean isEjected() {
        return statistics.ejection().isEjected();
    }
}
