package org.hickorycleat.logic.configuration;

import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Stream;
import org.hickorycleat.model.identifier.ProcessId;
import org.hickorycleat.model.message.FleetNode;

/**
 * Decides when an entry requests a newer configuration, and from which peer.
 *
 * <p>At most one request is in progress. A request that has timed out or whose peer has
 * disconnected is followed by one to another peer, with a longer timeout. The first request is also
 * followed by another one once its peer is silent while others are heard; only the first, because a
 * copy on a slow link delays the heartbeats behind it. A copy is accepted from each asked peer.
 */
public final class ConfigurationFetcher {
    /** Timeout of the first request, in milliseconds; a copy takes long on a slow link. */
    private static final long INITIAL_TIMEOUT_MS = 2_000;

    private static final long MAXIMUM_TIMEOUT_MS = 16_000;

    /** Time without a heartbeat after which other peers are preferred, in milliseconds. */
    private static final long SILENCE_MS = 600;

    private final ProcessId mSelf;
    private final Map<ProcessId, Peer> mPeers = new HashMap<>();
    private final Map<ProcessId, Long> mHeardAtMs = new HashMap<>();
    private final Set<ProcessId> mHeardPeers = new HashSet<>();
    private final Map<ProcessId, Integer> mAttempts = new HashMap<>();
    private Optional<Request> mRequest = Optional.empty();
    private long mTimeoutMs = INITIAL_TIMEOUT_MS;

    // The confirmed version is the one that two heartbeats in a row have reached.
    private record Peer(FleetNode node, long version, long confirmedVersion) {}

    private record Request(ProcessId peer, long knownVersion, long deadlineMs) {
        Request withDeadline(long deadlineMs) {
            return new Request(peer, knownVersion, deadlineMs);
        }
    }

    /** Creates the fetcher of an entry. */
    public ConfigurationFetcher(ProcessId self) {
        mSelf = self;
    }

    /** Handles the heartbeat of a peer, which names the version of its configuration. */
    public synchronized void onPeerHeartbeat(FleetNode peer, long version) {
        Peer previous = mPeers.get(peer.process());
        long confirmedVersion = previous == null ? -1 : Math.min(previous.version(), version);
        mPeers.put(peer.process(), new Peer(peer, version, confirmedVersion));
        mHeardPeers.add(peer.process());
    }

    /** Handles the loss of all links to a peer. */
    public synchronized void onPeerDisconnected(ProcessId peer) {
        mPeers.remove(peer);
        mHeardPeers.remove(peer);
        mHeardAtMs.remove(peer);
        mRequest =
                mRequest.map(
                        request ->
                                request.peer().equals(peer)
                                        ? request.withDeadline(Long.MIN_VALUE)
                                        : request);
    }

    /**
     * Returns the peer from which a copy must be requested now, if any; the request then counts as
     * in progress. Heartbeats since the previous call count as heard now, so that this method must
     * be called after each one.
     *
     * @param knownVersion version of the active configuration of this entry, -1 for none
     */
    public synchronized Optional<ProcessId> startRequest(long knownVersion, long nowMs) {
        mHeardPeers.forEach(peer -> mHeardAtMs.put(peer, nowMs));
        mHeardPeers.clear();
        boolean inProgress = mRequest.isPresent() && nowMs < mRequest.get().deadlineMs();
        if (inProgress && !mayRequestEarly(knownVersion, nowMs)) {
            return Optional.empty();
        }
        if (mRequest.isPresent() && mRequest.get().knownVersion() < knownVersion) {
            reset();
        }
        Optional<ProcessId> next =
                newerPeers(knownVersion).min(preference(nowMs)).map(peer -> peer.node().process());
        if (next.isEmpty()) {
            return next;
        }
        if (mRequest.isPresent()) {
            mTimeoutMs = Math.min(MAXIMUM_TIMEOUT_MS, 2 * mTimeoutMs);
        }
        mRequest = Optional.of(new Request(next.get(), knownVersion, nowMs + mTimeoutMs));
        mAttempts.merge(next.get(), 1, Integer::sum);
        return next;
    }

    private boolean mayRequestEarly(long knownVersion, long nowMs) {
        return mTimeoutMs == INITIAL_TIMEOUT_MS
                && mRequest.map(request -> isSilent(request.peer(), nowMs)).orElse(false)
                && newerPeers(knownVersion)
                        .anyMatch(peer -> !isSilent(peer.node().process(), nowMs));
    }

    private Stream<Peer> newerPeers(long knownVersion) {
        return mPeers.values().stream().filter(peer -> peer.confirmedVersion() > knownVersion);
    }

    private boolean isSilent(ProcessId peer, long nowMs) {
        return nowMs - mHeardAtMs.getOrDefault(peer, nowMs) > SILENCE_MS;
    }

    /** Handles that the request in progress could not be sent. */
    public synchronized void onRequestUnsent() {
        mRequest = Optional.empty();
    }

    /**
     * Handles a copy; one that brought no newer version leaves the request in progress, so that
     * unusable copies are not requested without a pause.
     *
     * @param knownVersion version of the active configuration of this entry after the copy
     */
    public synchronized void onCopyReceived(ProcessId peer, long knownVersion) {
        boolean responded =
                mRequest.isPresent()
                        && mRequest.get().peer().equals(peer)
                        && mRequest.get().knownVersion() < knownVersion;
        if (responded) {
            reset();
        }
    }

    private void reset() {
        mRequest = Optional.empty();
        mTimeoutMs = INITIAL_TIMEOUT_MS;
        mAttempts.clear();
    }

    // The last criterion spreads the requests of all entries over peers of equal capacity.
    private Comparator<Peer> preference(long nowMs) {
        return Comparator.<Peer, Boolean>comparing(peer -> isSilent(peer.node().process(), nowMs))
                .thenComparingInt(peer -> mAttempts.getOrDefault(peer.node().process(), 0))
                .thenComparing(Comparator.comparingLong(Peer::confirmedVersion).reversed())
                .thenComparing(
                        Comparator.<Peer>comparingLong(peer -> peer.node().capacityMilli())
                                .reversed())
                .thenComparingInt(peer -> spread(peer.node().process()));
    }

    private int spread(ProcessId peer) {
        int hash = (mSelf + " " + peer).hashCode() * 0x9E3779B1;
        return hash ^ (hash >>> 15);
    }
}
