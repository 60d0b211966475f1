package org.hickorycleat.logic.election;

import static org.assertj.core.api.Assertions.assertThat;

import org.hickorycleat.model.identifier.ProcessId;
import org.junit.jupiter.api.Test;

class PeerStorePathsTest {
    private static final ProcessId PEER = new ProcessId("peer-1");
    private static final long HEARTBEAT_MS = 200;

    private final PeerStorePaths mPaths = new PeerStorePaths();

    /** Reports until a time, in milliseconds, and returns the time of the last report. */
    private long report(long fromMs, long toMs) {
        long nowMs = fromMs;
        for (; nowMs <= toMs; nowMs += HEARTBEAT_MS) {
            mPaths.onReport(PEER, true, nowMs);
        }
        return nowMs - HEARTBEAT_MS;
    }

    @Test
    void trustsPeerThatReportsWithoutBreak() {
        assertThat(mPaths.isStoreServingPeer(report(0, 1_400))).isFalse();
        assertThat(mPaths.isStoreServingPeer(report(1_600, 1_600))).isTrue();
    }

    /** Guards against a change of owner because of a single wrong report during an outage. */
    @Test
    void ignoresPeerThatReachesStoreOnlyAtTimes() {
        for (long nowMs = 0; nowMs < 20_000; nowMs += HEARTBEAT_MS) {
            mPaths.onReport(PEER, nowMs % 1_600 < 400, nowMs);
            assertThat(mPaths.isStoreServingPeer(nowMs)).isFalse();
        }
    }

    @Test
    void ignoresSilentAndDisconnectedPeers() {
        long nowMs = report(0, 3_000);
        assertThat(mPaths.isStoreServingPeer(nowMs + 1_000)).isFalse();

        mPaths.onReport(PEER, true, nowMs + 1_000);
        assertThat(mPaths.isStoreServingPeer(nowMs + 1_000)).isFalse();

        nowMs = report(nowMs + 1_200, nowMs + 4_000);
        assertThat(mPaths.isStoreServingPeer(nowMs)).isTrue();
        mPaths.onPeerDisconnected(PEER);
        assertThat(mPaths.isStoreServingPeer(nowMs)).isFalse();
    }
}
