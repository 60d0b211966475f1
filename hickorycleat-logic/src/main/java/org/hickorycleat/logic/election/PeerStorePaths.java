package org.hickorycleat.logic.election;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.hickorycleat.model.identifier.ProcessId;

/**
 * Tells whether the store serves any peer although it may not serve this entry.
 *
 * <p>A single report does not prove it: during an outage of the store a peer may report for a
 * moment that it reaches the store, because its last failure was too long ago.
 */
public final class PeerStorePaths {
    /** Time for which a peer has to report that it reaches the store, in milliseconds. */
    private static final long STABILITY_MS = 1_500;

    /** Maximum age of the last report, in milliseconds. */
    private static final long REPORT_VALIDITY_MS = 1_000;

    private final Map<ProcessId, Period> mPeriods = new HashMap<>();

    private record Period(long startMs, long lastReportMs) {}

    /** Handles the report of a peer on its path to the store. */
    public synchronized void onReport(ProcessId peer, boolean reachesStore, long nowMs) {
        if (!reachesStore) {
            mPeriods.remove(peer);
            return;
        }
        long startMs =
                Optional.ofNullable(mPeriods.get(peer))
                        .filter(period -> nowMs - period.lastReportMs() < REPORT_VALIDITY_MS)
                        .map(Period::startMs)
                        .orElse(nowMs);
        mPeriods.put(peer, new Period(startMs, nowMs));
    }

    /** Handles the loss of all links to a peer. */
    public synchronized void onPeerDisconnected(ProcessId peer) {
        mPeriods.remove(peer);
    }

    /** Returns whether a peer has reported without a break that it reaches the store. */
    public synchronized boolean isStoreServingPeer(long nowMs) {
        return mPeriods.values().stream()
                .anyMatch(
                        period ->
                                nowMs - period.lastReportMs() < REPORT_VALIDITY_MS
                                        && nowMs - period.startMs() >= STABILITY_MS);
    }
}
