package org.hickorycleat.logic.places;

import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Tracks which racks tasks want, so that other work leaves their places where it can.
 *
 * <p>Load pattern: most short jobs want one rack for some seconds, while the other jobs have an
 * equal alternative in any other rack.
 */
public final class RackDemand {
    private final Map<String, Long> mLastWantedMsByRack = new HashMap<>();

    /** Records that a ready task wants a rack. */
    public void onWanted(String rack, long nowMs) {
        mLastWantedMsByRack.put(rack, nowMs);
    }

    /** Forgets the racks that were last wanted before a time, in milliseconds. */
    public void forgetBefore(long timeMs) {
        mLastWantedMsByRack.values().removeIf(wantedMs -> wantedMs < timeMs);
    }

    /** Returns whether a rack among the labels was wanted at or after a time, in milliseconds. */
    public boolean wasWantedSince(List<String> labels, long timeMs) {
        if (mLastWantedMsByRack.isEmpty()) {
            return false;
        }
        for (String label : labels) {
            Long wantedMs = mLastWantedMsByRack.get(label);
            if (wantedMs != null && wantedMs >= timeMs) {
                return true;
            }
        }
        return false;
    }
}
