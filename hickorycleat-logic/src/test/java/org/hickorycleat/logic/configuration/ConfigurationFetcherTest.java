package org.hickorycleat.logic.configuration;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.hickorycleat.model.identifier.ProcessId;
import org.hickorycleat.model.identifier.ZoneId;
import org.hickorycleat.model.message.FleetNode;
import org.hickorycleat.model.message.ProcessRole;
import org.junit.jupiter.api.Test;

class ConfigurationFetcherTest {
    private static final long HEARTBEAT_INTERVAL_MS = 200;

    private final ConfigurationFetcher mFetcher = new ConfigurationFetcher(new ProcessId("self"));

    private static FleetNode node(String process, long capacityMilli) {
        return new FleetNode(
                new ProcessId(process),
                ProcessRole.ENTRY,
                new ZoneId("north"),
                "127.0.0.1",
                1,
                capacityMilli,
                1);
    }

    private void confirm(FleetNode peer, long version) {
        mFetcher.onPeerHeartbeat(peer, version);
        mFetcher.onPeerHeartbeat(peer, version);
    }

    private Optional<String> startRequest(long knownVersion, long nowMs) {
        return mFetcher.startRequest(knownVersion, nowMs).map(ProcessId::value);
    }

    /** Guards against requests for a version that is about to arrive from the store. */
    @Test
    void requestsNothingAfterOneHeartbeatWithNewerVersion() {
        mFetcher.onPeerHeartbeat(node("a", 1_000), 7);
        mFetcher.onPeerHeartbeat(node("a", 1_000), 8);
        assertThat(startRequest(7, 0)).isEmpty();

        mFetcher.onPeerHeartbeat(node("a", 1_000), 8);
        assertThat(startRequest(7, 0)).contains("a");
    }

    @Test
    void requestsNothingWhenNoPeerIsNewer() {
        confirm(node("a", 1_000), 7);

        assertThat(startRequest(7, 0)).isEmpty();
        assertThat(startRequest(8, 0)).isEmpty();
    }

    /** Guards against a copy from every peer, and against one at every heartbeat. */
    @Test
    void requestsFromSinglePeerWithIncreasingTimeouts() {
        List<Long> requestedAtMs = new ArrayList<>();
        for (long nowMs = 0; nowMs < 60_000; nowMs += HEARTBEAT_INTERVAL_MS) {
            for (int i = 0; i < 12; i++) {
                mFetcher.onPeerHeartbeat(node("entry-" + i, 1_000), 8);
                if (startRequest(7, nowMs).isPresent()) {
                    requestedAtMs.add(nowMs);
                }
            }
        }

        assertThat(requestedAtMs).containsExactly(200L, 2_200L, 6_200L, 14_200L, 30_200L, 46_200L);
    }

    /** Guards against a peer that never responds and is asked forever. */
    @Test
    void requestsFromEachPeerInTurn() {
        confirm(node("large", 1_500), 9);
        confirm(node("small", 360), 9);
        confirm(node("behind", 1_500), 8);

        assertThat(startRequest(7, 0)).contains("large");
        assertThat(startRequest(7, 2_000)).contains("small");
        assertThat(startRequest(7, 6_000)).contains("behind");
        assertThat(startRequest(7, 14_000)).contains("large");
    }

    /** Guards against all entries requesting from the same peer. */
    @Test
    void spreadsRequestsOfDifferentEntriesOverLargePeers() {
        Set<ProcessId> asked = new HashSet<>();
        for (int i = 0; i < 12; i++) {
            ConfigurationFetcher fetcher = new ConfigurationFetcher(new ProcessId("self-" + i));
            for (int heartbeat = 0; heartbeat < 2; heartbeat++) {
                for (int j = 0; j < 6; j++) {
                    fetcher.onPeerHeartbeat(node("large-" + j, 1_500), 8);
                    fetcher.onPeerHeartbeat(node("small-" + j, 360), 8);
                }
            }
            asked.add(fetcher.startRequest(7, 0).orElseThrow());
        }

        assertThat(asked).hasSizeGreaterThanOrEqualTo(4);
        assertThat(asked).allMatch(peer -> peer.value().startsWith("large"));
    }

    /** Guards against waiting for a peer that has died. */
    @Test
    void requestsFromNextPeerAtOnceWhenAskedPeerDisconnects() {
        confirm(node("large", 1_500), 8);
        confirm(node("small", 360), 8);
        assertThat(startRequest(7, 0)).contains("large");
        mFetcher.onPeerDisconnected(new ProcessId("small"));
        assertThat(startRequest(7, 200)).isEmpty();
        confirm(node("small", 360), 8);

        mFetcher.onPeerDisconnected(new ProcessId("large"));

        assertThat(startRequest(7, 200)).contains("small");
    }

    /** Guards against a burst of copies over a link that breaks again and again. */
    @Test
    void increasesTimeoutWhileLinkOfOnlyPeerBreaks() {
        FleetNode peer = node("a", 1_000);
        confirm(peer, 8);
        assertThat(startRequest(7, 0)).contains("a");
        mFetcher.onPeerDisconnected(peer.process());
        assertThat(startRequest(7, 100)).isEmpty();
        confirm(peer, 8);
        assertThat(startRequest(7, 500)).contains("a");

        assertThat(startRequest(7, 4_400)).isEmpty();
        assertThat(startRequest(7, 4_500)).contains("a");
    }

    @Test
    void requestsAgainAtOnceWhenRequestWasNotSent() {
        confirm(node("large", 1_500), 8);
        confirm(node("small", 360), 8);
        assertThat(startRequest(7, 0)).contains("large");

        mFetcher.onRequestUnsent();

        assertThat(startRequest(7, 0)).contains("small");
    }

    /** Guards against a next version that waits for the timeout of the previous one. */
    @Test
    void requestsNextVersionAtOnceAfterCopyWithInitialTimeout() {
        confirm(node("a", 1_000), 8);
        assertThat(startRequest(7, 0)).contains("a");
        assertThat(startRequest(7, 2_000)).contains("a");
        mFetcher.onCopyReceived(new ProcessId("a"), 8);
        assertThat(startRequest(8, 2_100)).isEmpty();

        confirm(node("a", 1_000), 9);

        assertThat(startRequest(8, 2_200)).contains("a");
        assertThat(startRequest(8, 4_200)).contains("a");
    }

    /** Guards against requests without a pause to peers whose copies cannot be read. */
    @Test
    void waitsForTimeoutAfterUnusableCopy() {
        confirm(node("a", 1_000), 8);
        confirm(node("b", 1_000), 8);
        String asked = startRequest(7, 0).orElseThrow();

        mFetcher.onCopyReceived(new ProcessId(asked), 7);

        assertThat(startRequest(7, 200)).isEmpty();
        assertThat(startRequest(7, 2_000)).isPresent().get().isNotEqualTo(asked);
    }

    /** Guards against a late copy that ends the request to another peer. */
    @Test
    void lateCopyOfEarlierPeerLeavesRequestInProgress() {
        confirm(node("large", 1_500), 9);
        confirm(node("small", 360), 9);
        assertThat(startRequest(7, 0)).contains("large");
        assertThat(startRequest(7, 2_000)).contains("small");

        mFetcher.onCopyReceived(new ProcessId("large"), 8);

        assertThat(startRequest(8, 2_200)).isEmpty();
    }

    /** Guards against timeouts that stay long after the store has delivered the version. */
    @Test
    void startsWithInitialTimeoutAfterVersionArrivedFromStore() {
        confirm(node("a", 1_000), 8);
        assertThat(startRequest(7, 0)).contains("a");
        assertThat(startRequest(7, 2_000)).contains("a");
        assertThat(startRequest(8, 6_000)).isEmpty();
        confirm(node("a", 1_000), 9);

        assertThat(startRequest(8, 6_200)).contains("a");
        assertThat(startRequest(8, 8_200)).contains("a");
    }

    // Heartbeats of the given peers, each followed by a look whether a request is due.
    private List<String> requestsDuring(
            long fromMs, long untilMs, long knownVersion, FleetNode... peers) {
        List<String> requests = new ArrayList<>();
        for (long nowMs = fromMs; nowMs < untilMs; nowMs += HEARTBEAT_INTERVAL_MS) {
            for (FleetNode peer : peers) {
                mFetcher.onPeerHeartbeat(peer, 8);
                Optional<String> request = startRequest(knownVersion, nowMs);
                if (request.isPresent()) {
                    requests.add(nowMs + " " + request.get());
                }
            }
        }
        return requests;
    }

    /** Guards against a configuration that waits for the timeout of a peer that is silent. */
    @Test
    void requestsFromOtherPeerWhenAskedPeerBecomesSilent() {
        FleetNode large = node("large", 1_500);
        FleetNode small = node("small", 360);
        assertThat(requestsDuring(0, 400, 7, large, small)).containsExactly("200 large");

        assertThat(requestsDuring(400, 2_200, 7, small)).containsExactly("1000 small");
    }

    /** Guards against a request to a peer that is known to be silent. */
    @Test
    void prefersPeerWithRecentHeartbeat() {
        FleetNode large = node("large", 1_500);
        FleetNode small = node("small", 360);
        requestsDuring(0, 600, 8, large, small);

        assertThat(requestsDuring(600, 1_200, 8, small)).isEmpty();
        assertThat(requestsDuring(1_200, 1_400, 7, small)).containsExactly("1200 small");
    }

    /** Guards against copies that pile up because their own size delays the heartbeats. */
    @Test
    void requestsEarlyOnlyOnceWhileCopiesDelayHeartbeats() {
        FleetNode large = node("large", 1_500);
        FleetNode middle = node("middle", 1_000);
        FleetNode small = node("small", 360);
        requestsDuring(0, 400, 7, large, middle, small);

        assertThat(requestsDuring(400, 1_200, 7, middle, small)).containsExactly("1000 middle");
        assertThat(requestsDuring(1_200, 8_000, 7, small)).containsExactly("5000 small");
    }

    @Test
    void keepsRequestToSilentPeerWhileNoOtherPeerIsHeard() {
        FleetNode large = node("large", 1_500);
        FleetNode small = node("small", 360);
        requestsDuring(0, 400, 7, large, small);

        assertThat(startRequest(7, 1_600)).isEmpty();
        assertThat(startRequest(7, 2_200)).contains("small");
    }
}
