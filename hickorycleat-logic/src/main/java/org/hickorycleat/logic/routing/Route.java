package org.hickorycleat.logic.routing;

import org.hickorycleat.logic.membership.TargetView;

/** A ready target with what the entry learned of it. */
record Route(TargetView view, TargetTrack track) {
    /** Requests that this entry may have in the slots of the target. */
    int slotShare(int liveEntries) {
        return Math.max(1, (view.slots() + liveEntries - 1) / liveEntries);
    }

    /** Requests that this entry may have at the target, its queue included. */
    int limit(int liveEntries) {
        int slotShare = slotShare(liveEntries);
        int queueShare = Math.max(0, view.connections() - view.slots()) / liveEntries;
        return slotShare + Math.min(queueShare, slotShare);
    }

    boolean hasRoom(int liveEntries) {
        return track.inFlight() < limit(liveEntries);
    }

    boolean hasFreeSlot(int liveEntries, long nowMs) {
        return track.inFlight() < slotShare(liveEntries) && track.load(nowMs) < view.slots();
    }

    boolean isEjected() {
        return track.ejection().isEjected();
    }
}
