package org.hickorycleat.logic.evacuation;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import org.hickorycleat.model.identifier.ZoneId;

/**
 * Availability zones whose workers the operator wants to get nothing new, as the records of the
 * store tell.
 *
 * <p>Load pattern: several requests within seconds, repeated or taken back early, read by entries
 * that were disconnected meanwhile. Of two records on a zone, the one at the higher offset is in
 * force, in whatever order they are read. A zone that is missing from a whole list of the newest
 * records was taken back by a record that the store has removed.
 */
public final class EvacuatedZones {
    private final Map<ZoneId, Request> mRequests = new HashMap<>();
    private final Set<ZoneId> mListed = new HashSet<>();

    /** Newest record on a zone. */
    private record Request(long offset, boolean inForce) {}

    /** Returns the zones that are evacuated now. */
    public synchronized Set<ZoneId> zones() {
        Set<ZoneId> zones = new TreeSet<>();
        mRequests.forEach(
                (zone, request) -> {
                    if (request.inForce()) {
                        zones.add(zone);
                    }
                });
        return zones;
    }

    /**
     * Handles a record on a zone.
     *
     * @param offset offset of the record in its topic
     * @param requested whether it requests the evacuation; otherwise it takes a request back
     * @return whether this changes the zones
     */
    public synchronized boolean onRecord(ZoneId zone, long offset, boolean requested) {
        mListed.add(zone);
        Request known = mRequests.get(zone);
        if (known != null && offset <= known.offset()) {
            return false;
        }
        mRequests.put(zone, new Request(offset, requested));
        return requested != (known != null && known.inForce());
    }

    /** Handles the start of a read of the newest record of each key. */
    public synchronized void onListStarted() {
        mListed.clear();
    }

    /**
     * Handles the end of a read of the newest record of each key.
     *
     * @param startOffset end offset of the topic when the read started; records from there on may
     *     be missing from the list
     * @return whether this changes the zones
     */
    public synchronized boolean onListEnded(long startOffset) {
        boolean changed = false;
        for (Map.Entry<ZoneId, Request> entry : mRequests.entrySet()) {
            Request request = entry.getValue();
            if (!mListed.contains(entry.getKey()) && request.offset() < startOffset) {
                entry.setValue(new Request(startOffset - 1, false));
                changed |= request.inForce();
            }
        }
        return changed;
    }
}
