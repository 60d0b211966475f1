package org.hickorycleat.logic.election;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.hickorycleat.model.identifier.Epoch;
import org.hickorycleat.model.identifier.ProcessId;
import org.hickorycleat.model.message.EntryHeartbeat;

/**
 * Decides when an entry should claim the jobs.
 *
 * <p>The store decides who wins; this only keeps entries from claiming without need. An entry
 * claims when neither it nor any peer has heard from the owner for a while; stronger entries claim
 * earlier.
 */
public final class OwnerElection {
    /** An owner that nobody heard for this long has failed, in milliseconds. */
    private static final long SILENCE_LIMIT_MS = 1_200;

    /** An owner whose links are closed has this long to open them again, in milliseconds. */
    private static final long CLOSED_LIMIT_MS = 400;

    /** A peer's heartbeat older than this no longer speaks for the owner, in milliseconds. */
    private static final long PEER_MEMORY_MS = 1_000;

    /** Delay of the claim of an entry with one whole processor, in milliseconds. */
    private static final long CLAIM_DELAY_MS = 100;

    private static final long LONGEST_CLAIM_DELAY_MS = 600;

    private final ProcessId mSelf;
    private final long mClaimDelayMs;
    private final Map<ProcessId, PeerView> mPeers = new HashMap<>();
    private Optional<ProcessId> mOwner = Optional.empty();
    private Epoch mEpoch = new Epoch(-1);
    private long mHeardAtMs;
    private boolean mConnected;
    private long mOfferedUntilMs = Long.MIN_VALUE;

    private record PeerView(EntryHeartbeat heartbeat, long receivedAtMs) {}

    /**
     * Creates the election of an entry.
     *
     * @param capacityMilli share of a processor of this entry, in thousandths
     */
    public OwnerElection(ProcessId self, long capacityMilli, long nowMs) {
        mSelf = self;
        mClaimDelayMs =
                Math.min(
                        LONGEST_CLAIM_DELAY_MS, CLAIM_DELAY_MS * 1000 / Math.max(1, capacityMilli));
        mHeardAtMs = nowMs;
    }

    /** Learns of a claim. */
    public synchronized void onOwnershipClaimed(ProcessId owner, Epoch epoch, long nowMs) {
        if (epoch.compareTo(mEpoch) <= 0) {
            return;
        }
        mOwner = Optional.of(owner);
        mEpoch = epoch;
        mHeardAtMs = nowMs;
        mConnected = true;
    }

    /** Takes the heartbeat of a peer. */
    public synchronized void onPeerHeartbeat(ProcessId peer, EntryHeartbeat heartbeat, long nowMs) {
        mPeers.put(peer, new PeerView(heartbeat, nowMs));
        heartbeat.owner().ifPresent(owner -> onOwnershipClaimed(owner, heartbeat.epoch(), nowMs));
        boolean speaksAsOwner =
                heartbeat.owner().equals(Optional.of(peer)) && heartbeat.epoch().equals(mEpoch);
        if (speaksAsOwner) {
            mHeardAtMs = nowMs;
            mConnected = true;
        }
    }

    /** All links to a peer are closed. */
    public synchronized void onPeerDisconnected(ProcessId peer) {
        mPeers.remove(peer);
        if (mOwner.equals(Optional.of(peer))) {
            mConnected = false;
        }
    }

    /** The owner asks this entry to take over. */
    public synchronized void onOwnershipOffered(Epoch epoch, long nowMs) {
        if (epoch.equals(mEpoch)) {
            mOfferedUntilMs = nowMs + SILENCE_LIMIT_MS;
        }
    }

    /** Returns the owner that this entry follows. */
    public synchronized Optional<ProcessId> owner() {
        return mOwner;
    }

    /** Returns the epoch of that owner. */
    public synchronized Epoch epoch() {
        return mEpoch;
    }

    /** Returns how long ago the owner was heard, in milliseconds. */
    public synchronized long ownerHeartbeatAgeMs(long nowMs) {
        return isOwner() ? 0 : nowMs - mHeardAtMs;
    }

    /** Tells whether this entry is the newest owner it knows. */
    public synchronized boolean isOwner() {
        return mOwner.equals(Optional.of(mSelf));
    }

    /** Tells whether this entry should claim the jobs now. */
    public synchronized boolean shouldClaimOwnership(long nowMs) {
        if (nowMs < mOfferedUntilMs) {
            return true;
        }
        if (!isOwner() && nowMs - mHeardAtMs < limitMs() + mClaimDelayMs) {
            return false;
        }
        return mPeers.values().stream().noneMatch(view -> vouches(view, nowMs));
    }

    private long limitMs() {
        return mOwner.isPresent() && mConnected ? SILENCE_LIMIT_MS : CLOSED_LIMIT_MS;
    }

    private boolean vouches(PeerView view, long nowMs) {
        if (nowMs - view.receivedAtMs() > PEER_MEMORY_MS || mOwner.isEmpty()) {
            return false;
        }
        EntryHeartbeat heartbeat = view.heartbeat();
        return heartbeat.epoch().equals(mEpoch)
                && !heartbeat.owner().equals(Optional.of(mSelf))
                && heartbeat.ownerHeartbeatAgeMs() + nowMs - view.receivedAtMs() < limitMs();
    }
}
