package org.hickorycleat.logic.election;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.stream.IntStream;
import org.hickorycleat.model.identifier.Epoch;
import org.hickorycleat.model.identifier.ProcessId;
import org.hickorycleat.model.message.EntryHeartbeat;
import org.junit.jupiter.api.Test;

class OwnerElectionTest {
    private static final ProcessId SELF = new ProcessId("entry-1");
    private static final ProcessId OWNER = new ProcessId("entry-2");
    private static final ProcessId PEER = new ProcessId("entry-3");
    private static final Epoch EPOCH = new Epoch(7);
    private static final long CAPACITY_MILLI = 1_000;
    private static final long HEARTBEAT_INTERVAL_MS = 200;

    private final OwnerElection mElection = new OwnerElection(SELF, CAPACITY_MILLI, 0);

    private static EntryHeartbeat heartbeat(
            ProcessId owner, Epoch epoch, long ownerHeartbeatAgeMs) {
        return new EntryHeartbeat(Optional.of(owner), epoch, ownerHeartbeatAgeMs, 1, true, 1);
    }

    @Test
    void claimsWhenThereIsNoOwner() {
        assertThat(mElection.shouldClaimOwnership(100)).isFalse();
        assertThat(mElection.shouldClaimOwnership(1_000)).isTrue();
    }

    @Test
    void claimsNothingWhileOwnerSendsHeartbeats() {
        for (long nowMs = 0; nowMs < 5_000; nowMs += 200) {
            mElection.onPeerHeartbeat(OWNER, heartbeat(OWNER, EPOCH, 0), nowMs);
            assertThat(mElection.shouldClaimOwnership(nowMs)).isFalse();
        }
    }

    @Test
    void claimsWithinTwoSecondsAfterLastHeartbeat() {
        mElection.onPeerHeartbeat(OWNER, heartbeat(OWNER, EPOCH, 0), 0);

        assertThat(mElection.shouldClaimOwnership(1_000)).isFalse();
        assertThat(mElection.shouldClaimOwnership(1_500)).isTrue();
    }

    @Test
    void claimsSoonerWhenAllLinksToOwnerAreClosed() {
        mElection.onPeerHeartbeat(OWNER, heartbeat(OWNER, EPOCH, 0), 0);
        mElection.onPeerDisconnected(OWNER);

        assertThat(mElection.shouldClaimOwnership(700)).isTrue();
    }

    @Test
    void claimsNothingWhilePeerConfirmsOwner() {
        mElection.onPeerHeartbeat(OWNER, heartbeat(OWNER, EPOCH, 0), 0);
        mElection.onPeerHeartbeat(PEER, heartbeat(OWNER, EPOCH, 100), 1_900);

        assertThat(mElection.shouldClaimOwnership(2_000)).isFalse();
        assertThat(mElection.shouldClaimOwnership(4_000)).isTrue();
    }

    @Test
    void followsHighestEpochOnly() {
        mElection.onOwnershipClaimed(OWNER, EPOCH, 0);
        mElection.onOwnershipClaimed(PEER, new Epoch(6), 0);

        assertThat(mElection.owner()).contains(OWNER);
        assertThat(mElection.epoch()).isEqualTo(EPOCH);
    }

    @Test
    void acceptsOfferOfCurrentEpochOnly() {
        mElection.onPeerHeartbeat(OWNER, heartbeat(OWNER, EPOCH, 0), 0);
        mElection.onOwnershipOffered(new Epoch(6), 100);
        assertThat(mElection.shouldClaimOwnership(100)).isFalse();

        mElection.onOwnershipOffered(EPOCH, 100);
        assertThat(mElection.shouldClaimOwnership(100)).isTrue();
    }

    @Test
    void ceasesToBeOwnerOnHigherEpoch() {
        mElection.onOwnershipClaimed(SELF, EPOCH, 0);
        assertThat(mElection.isOwner()).isTrue();

        mElection.onPeerHeartbeat(PEER, heartbeat(PEER, new Epoch(9), 0), 10);

        assertThat(mElection.isOwner()).isFalse();
    }

    @Test
    void reportsGrowingAgeWhenNamedOwnerDoesNotSchedule() {
        mElection.onOwnershipClaimed(SELF, EPOCH, 0);

        assertThat(mElection.ownerHeartbeatAgeMs(3_000)).isGreaterThanOrEqualTo(3_000);
    }

    @Test
    void reportsAtLeastAgeOfPeerWhenOwnerWasNeverHeard() {
        mElection.onPeerHeartbeat(PEER, heartbeat(OWNER, EPOCH, 5_000), 0);

        assertThat(mElection.ownerHeartbeatAgeMs(0)).isGreaterThanOrEqualTo(5_000);
    }

    @Test
    void claimsOwnershipWhenNamedOwnerDoesNotSchedule() {
        for (long nowMs = 0; nowMs <= 3_000; nowMs += HEARTBEAT_INTERVAL_MS) {
            mElection.onPeerHeartbeat(OWNER, heartbeat(OWNER, EPOCH, 5_000 + nowMs), nowMs);
        }

        assertThat(mElection.shouldClaimOwnership(3_000)).isTrue();
    }

    @Test
    void claimsOwnershipWhenOwnerRestartsWithoutScheduling() {
        OwnerElection peer = new OwnerElection(PEER, CAPACITY_MILLI, 0);
        mElection.onPeerHeartbeat(OWNER, heartbeat(OWNER, EPOCH, 0), 0);
        peer.onPeerHeartbeat(OWNER, heartbeat(OWNER, EPOCH, 0), 0);
        mElection.onPeerDisconnected(OWNER);
        peer.onPeerDisconnected(OWNER);
        OwnerElection restarted = new OwnerElection(OWNER, CAPACITY_MILLI, 100);

        Map<ProcessId, OwnerElection> elections = new LinkedHashMap<>();
        elections.put(SELF, mElection);
        elections.put(PEER, peer);
        elections.put(OWNER, restarted);
        boolean claimed = false;
        for (long nowMs = 200; nowMs <= 4_000; nowMs += HEARTBEAT_INTERVAL_MS) {
            exchangeHeartbeats(elections, nowMs);
            claimed |= mElection.shouldClaimOwnership(nowMs) || peer.shouldClaimOwnership(nowMs);
        }

        assertThat(claimed).isTrue();
    }

    @Test
    void reportsOwnerAsAliveOnlyWhileItSchedules() {
        mElection.onSchedulingStarted(EPOCH, 0);
        assertThat(mElection.ownerHeartbeatAgeMs(3_000)).isZero();

        mElection.onSchedulingStopped(3_000);
        assertThat(mElection.ownerHeartbeatAgeMs(5_000)).isEqualTo(2_000);
    }

    @Test
    void claimsNothingImmediatelyAfterItWasFenced() {
        mElection.onSchedulingStarted(EPOCH, 0);
        mElection.onSchedulingStopped(3_000);

        assertThat(mElection.shouldClaimOwnership(3_100)).isFalse();
        assertThat(mElection.shouldClaimOwnership(4_500)).isTrue();
    }

    @Test
    void claimsNothingWhenStartedWhileOwnerSchedules() {
        mElection.onPeerHeartbeat(PEER, heartbeat(OWNER, EPOCH, 100), 0);

        assertThat(mElection.shouldClaimOwnership(1_000)).isFalse();
        for (long nowMs = 1_200; nowMs < 5_000; nowMs += HEARTBEAT_INTERVAL_MS) {
            mElection.onPeerHeartbeat(OWNER, heartbeat(OWNER, EPOCH, 0), nowMs);
            assertThat(mElection.shouldClaimOwnership(nowMs)).isFalse();
        }
    }

    @Test
    void claimsImmediatelyWhenItsPreviousIncarnationWasOwner() {
        mElection.onOwnershipClaimed(SELF, EPOCH, 100);

        assertThat(mElection.shouldClaimOwnership(100)).isTrue();
    }

    /** Guards against an entry whose repeated claims keep its peers waiting. */
    @Test
    void letsPeersClaimFirstWhenItsOwnClaimHadNoEffect() {
        OwnerElection peer = new OwnerElection(PEER, 100, 0);
        mElection.onOwnershipClaimed(SELF, EPOCH, 0);
        peer.onOwnershipClaimed(SELF, EPOCH, 0);
        mElection.onClaimFailed(600);

        assertThat(mElection.shouldClaimOwnership(1_800)).isFalse();
        assertThat(peer.shouldClaimOwnership(1_800)).isTrue();
        assertThat(mElection.shouldClaimOwnership(3_000)).isTrue();
    }

    /** Guards against an entry without a link that fences an owner whose progress it reads. */
    @Test
    void claimsNothingWhileItHearsNoPeerAndReadsProgressOfOwner() {
        mElection.onPeerHeartbeat(OWNER, heartbeat(OWNER, EPOCH, 0), 0);
        mElection.onPeerDisconnected(OWNER);

        for (long nowMs = 0; nowMs <= 30_000; nowMs += HEARTBEAT_INTERVAL_MS) {
            if (nowMs % 2_000 == 0) {
                mElection.onOwnerRecordRead(nowMs);
            }
            mElection.onTick(true, nowMs, nowMs);
            assertThat(mElection.shouldClaimOwnership(nowMs)).isFalse();
        }
    }

    /** Guards against an entry whose links are open, but that hears no peer any more. */
    @Test
    void waitsLongerButLessThanLeaseWhileItHearsNoPeerAndLogIsSilent() {
        mElection.onPeerHeartbeat(OWNER, heartbeat(OWNER, EPOCH, 0), 0);
        mElection.onPeerHeartbeat(PEER, heartbeat(OWNER, EPOCH, 100), 0);

        assertThat(firstClaimMs(true, 0, 10_000)).isBetween(2_000L, 4_000L);
    }

    /** Guards against an entry that takes a log that it cannot read for a silent one. */
    @Test
    void claimsNothingWhileItHearsNoPeerAndCannotReadLog() {
        mElection.onPeerHeartbeat(OWNER, heartbeat(OWNER, EPOCH, 0), 0);

        for (long nowMs = 0; nowMs <= 10_000; nowMs += HEARTBEAT_INTERVAL_MS) {
            mElection.onTick(true, 1_000, nowMs);
            assertThat(mElection.shouldClaimOwnership(nowMs)).isFalse();
        }
    }

    @Test
    void claimsAtOnceWhenItIsTheOnlyEntry() {
        assertThat(firstClaimMs(false, 0, 10_000)).isBetween(0L, 1_000L);
    }

    @Test
    void claimsSoonAfterDeathOfOwnerWhilePeerIsHeard() {
        mElection.onPeerHeartbeat(OWNER, heartbeat(OWNER, EPOCH, 0), 0);
        mElection.onPeerDisconnected(OWNER);

        long claimMs = -1;
        for (long nowMs = 0; nowMs <= 5_000 && claimMs < 0; nowMs += HEARTBEAT_INTERVAL_MS) {
            mElection.onPeerHeartbeat(PEER, heartbeat(OWNER, EPOCH, nowMs), nowMs);
            mElection.onTick(true, nowMs, nowMs);
            claimMs = mElection.shouldClaimOwnership(nowMs) ? nowMs : -1;
        }

        assertThat(claimMs).isBetween(400L, 1_800L);
    }

    private long firstClaimMs(boolean otherEntriesKnown, long startMs, long endMs) {
        for (long nowMs = startMs; nowMs <= endMs; nowMs += HEARTBEAT_INTERVAL_MS) {
            mElection.onTick(otherEntriesKnown, nowMs, nowMs);
            if (mElection.shouldClaimOwnership(nowMs)) {
                return nowMs;
            }
        }
        return -1;
    }

    /** Guards against an entry that fences a healthy owner when its machine continues. */
    @Test
    void restartsWaitAfterItsOwnPause() {
        mElection.onPeerHeartbeat(OWNER, heartbeat(OWNER, EPOCH, 0), 0);
        mElection.onTick(false, 0, 0);

        mElection.onTick(false, 10_000, 10_000);
        assertThat(mElection.shouldClaimOwnership(10_000)).isFalse();
        mElection.onTick(false, 11_000, 11_000);
        assertThat(mElection.shouldClaimOwnership(11_000)).isFalse();
        mElection.onTick(false, 11_500, 11_500);
        assertThat(mElection.shouldClaimOwnership(11_500)).isTrue();
    }

    /** Guards against an offer that waited in a queue while this entry was paused. */
    @Test
    void ignoresOfferThatArrivesAfterItsOwnPause() {
        mElection.onPeerHeartbeat(OWNER, heartbeat(OWNER, EPOCH, 0), 0);
        mElection.onTick(false, 0, 0);

        mElection.onOwnershipOffered(EPOCH, 10_000);
        mElection.onTick(false, 10_000, 10_000);
        mElection.onOwnershipOffered(EPOCH, 10_001);

        assertThat(mElection.shouldClaimOwnership(10_001)).isFalse();
    }

    /** Guards against an offer of a former owner that makes an entry fence the next one. */
    @Test
    void ignoresOfferOnceNewerClaimIsKnown() {
        mElection.onPeerHeartbeat(OWNER, heartbeat(OWNER, EPOCH, 0), 0);
        mElection.onOwnershipOffered(EPOCH, 100);

        mElection.onPeerHeartbeat(PEER, heartbeat(PEER, new Epoch(9), 0), 200);

        assertThat(mElection.shouldClaimOwnership(300)).isFalse();
    }

    /** Guards against an offer that makes an entry repeat a claim that has failed. */
    @Test
    void usesOfferForOneClaimOnly() {
        mElection.onPeerHeartbeat(OWNER, heartbeat(OWNER, EPOCH, 0), 0);
        mElection.onOwnershipOffered(EPOCH, 100);

        mElection.onClaimFailed(200);

        assertThat(mElection.shouldClaimOwnership(300)).isFalse();
    }

    /** Guards against equal entries that claim together and fence each other. */
    @Test
    void letsEqualEntriesClaimOneAfterAnother() {
        List<Long> claimsMs =
                IntStream.rangeClosed(1, 6)
                        .mapToObj(number -> claimDelayMs("edge-groningen-" + number, 1_500))
                        .sorted()
                        .toList();

        assertThat(claimsMs.get(1) - claimsMs.get(0)).isGreaterThanOrEqualTo(20);
        assertThat(claimsMs).doesNotHaveDuplicates();
        assertThat(claimsMs.get(5)).isLessThan(claimDelayMs("edge-groningen-7", 200));
    }

    // Counts from the time at which the former owner is silent, with a peer that confirms it.
    private static long claimDelayMs(String process, long capacityMilli) {
        OwnerElection election = new OwnerElection(new ProcessId(process), capacityMilli, 0);
        election.onTick(true, 0, 0);
        long nowMs = 0;
        while (!election.shouldClaimOwnership(nowMs)) {
            nowMs++;
            if (nowMs % HEARTBEAT_INTERVAL_MS == 0) {
                election.onPeerHeartbeat(
                        PEER,
                        new EntryHeartbeat(Optional.empty(), new Epoch(-1), 60_000, 1, true, 0),
                        nowMs);
                election.onTick(true, nowMs, nowMs);
            }
        }
        return nowMs;
    }

    /** Guards against an entry that repeats claims which other entries win. */
    @Test
    void waitsLongerAfterEachFailedClaim() {
        mElection.onPeerHeartbeat(OWNER, heartbeat(OWNER, EPOCH, 0), 0);

        long firstPauseMs = pauseAfterFailedClaimMs(2_000);
        long secondPauseMs = pauseAfterFailedClaimMs(20_000);
        long pauseMs = 0;
        for (long nowMs = 40_000; nowMs < 200_000; nowMs += 20_000) {
            pauseMs = pauseAfterFailedClaimMs(nowMs);
        }

        assertThat(firstPauseMs).isBetween(1_000L, 2_000L);
        assertThat(secondPauseMs).isGreaterThan(firstPauseMs);
        assertThat(pauseMs).isBetween(secondPauseMs, 6_000L);
        mElection.onPeerHeartbeat(OWNER, heartbeat(OWNER, EPOCH, 0), 200_000);
        assertThat(pauseAfterFailedClaimMs(202_000)).isEqualTo(firstPauseMs);
    }

    private long pauseAfterFailedClaimMs(long failedAtMs) {
        mElection.onClaimFailed(failedAtMs);
        long nowMs = failedAtMs;
        while (!mElection.shouldClaimOwnership(nowMs)) {
            nowMs += 10;
        }
        return nowMs - failedAtMs;
    }

    /** Guards against a wait for heartbeats of an owner that was never connected. */
    @Test
    void claimsSoonWhenLoadedClaimNamesOwnerThatWasNeverConnected() {
        mElection.onClaimLoaded(OWNER, EPOCH, 0);

        assertThat(mElection.shouldClaimOwnership(700)).isTrue();
    }

    /** Guards against a claim before a new owner has had time to start. */
    @Test
    void waitsForStartOfOwnerThatHasJustClaimed() {
        mElection.onOwnershipClaimed(OWNER, EPOCH, 0);

        assertThat(mElection.shouldClaimOwnership(1_000)).isFalse();
        assertThat(mElection.shouldClaimOwnership(1_800)).isTrue();
    }

    /**
     * Guards against an entry that fences an owner which only a peer with late heartbeats hears.
     */
    @Test
    void claimsNothingWhilePeerConfirmsOwnerThatWasNeverConnected() {
        mElection.onClaimLoaded(OWNER, EPOCH, 0);

        for (long nowMs = 0; nowMs <= 5_000; nowMs += HEARTBEAT_INTERVAL_MS) {
            assertThat(mElection.shouldClaimOwnership(nowMs)).isFalse();
            mElection.onPeerHeartbeat(PEER, heartbeat(OWNER, EPOCH, 200), nowMs);
        }
    }

    private static void exchangeHeartbeats(Map<ProcessId, OwnerElection> elections, long nowMs) {
        elections.forEach(
                (sender, election) -> {
                    EntryHeartbeat heartbeat =
                            new EntryHeartbeat(
                                    election.owner(),
                                    election.epoch(),
                                    election.ownerHeartbeatAgeMs(nowMs),
                                    1,
                                    true,
                                    1);
                    elections.forEach(
                            (receiver, other) -> {
                                if (!receiver.equals(sender)) {
                                    other.onPeerHeartbeat(sender, heartbeat, nowMs);
                                }
                            });
                });
    }
}
