package org.hickorycleat.logic.election;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.hickorycleat.model.identifier.Epoch;
import org.hickorycleat.model.identifier.ProcessId;
import org.hickorycleat.model.message.EntryHeartbeat;

/**
 * Decides when an entry should claim the ownership of the jobs.
 *
 * <p>The store decides which claim wins; this class only prevents needless claims. An entry claims
 * when neither it nor any peer has received a heartbeat of a scheduling owner within the timeout;
 * entries with more processor capacity claim earlier, and those of equal capacity one after
 * another.
 *
 * <p>An entry that hears no peer cannot tell a silent owner from its own lost links. It claims only
 * after the log of the jobs, in which the owner records progress, has been silent for longer.
 *
 * <p>A claim names a process, not its incarnation, so a claim alone does not prove that its owner
 * is alive. Only an owner that schedules under the epoch of its claim sends heartbeats with an age
 * of 0.
 */
public final class OwnerElection {
    /** Time without a heartbeat after which the owner counts as failed, in milliseconds. */
    private static final long OWNER_TIMEOUT_MS = 1_200;

    /** Time within which an owner whose links are closed must reconnect, in milliseconds. */
    private static final long RECONNECT_TIMEOUT_MS = 400;

    /**
     * Age of the owner's last heartbeat at a peer up to which the peer confirms an owner that is
     * not connected, in milliseconds; three intervals of heartbeats.
     */
    private static final long MINIMUM_CONFIRMED_AGE_MS = 600;

    /** Maximum age at which a peer's heartbeat still confirms the owner, in milliseconds. */
    private static final long PEER_HEARTBEAT_VALIDITY_MS = 1_000;

    /**
     * Time without a sign of the owner in the log after which an entry that hears no peer may
     * claim, in milliseconds; well below the duration of a lease, which the last living entry has
     * to extend in time.
     */
    private static final long ISOLATED_TIMEOUT_MS = 2_500;

    /** Time between two ticks above which this process was paused, in milliseconds. */
    private static final long PAUSE_MS = 1_000;

    /**
     * Claim delay of an entry with one whole processor, in milliseconds; inversely proportional to
     * the capacity.
     */
    private static final long CLAIM_DELAY_MS = 100;

    private static final long MAXIMUM_CAPACITY_DELAY_MS = 360;

    /** Range of the delay that differs between processes of equal capacity, in milliseconds. */
    private static final long STAGGER_RANGE_MS = 240;

    private static final long MAXIMUM_CLAIM_DELAY_MS = MAXIMUM_CAPACITY_DELAY_MS + STAGGER_RANGE_MS;

    /** First and longest pause after a failed claim, in milliseconds; it doubles in between. */
    private static final long INITIAL_FAILED_CLAIM_PAUSE_MS =
            OWNER_TIMEOUT_MS + MAXIMUM_CLAIM_DELAY_MS;

    private static final long MAXIMUM_FAILED_CLAIM_PAUSE_MS = 5_000;

    /** Age of an owner that was never heard, in milliseconds; far above all timeouts. */
    private static final long NEVER_HEARD_AGE_MS = 60_000;

    private final ProcessId mSelf;
    private final long mCapacityDelayMs;
    private final long mStaggerMs;
    private final Map<ProcessId, ReceivedHeartbeat> mPeers = new HashMap<>();
    private Optional<ProcessId> mOwner = Optional.empty();
    private Epoch mEpoch = new Epoch(-1);
    private Optional<Epoch> mScheduledEpoch = Optional.empty();
    private long mOwnerHeartbeatAtMs;
    private long mClaimKnownAtMs;
    private long mTickedAtMs;
    private long mResumedAtMs;
    private long mOwnerRecordAtMs = Long.MIN_VALUE;
    private long mLogReadAtMs = Long.MIN_VALUE;
    private boolean mOtherEntriesKnown;
    private boolean mOwnerConnected;
    private long mFailedClaimPauseMs;
    private long mNextClaimAtMs = Long.MIN_VALUE;
    private Optional<Epoch> mOfferedEpoch = Optional.empty();
    private long mOfferedUntilMs = Long.MIN_VALUE;

    private record ReceivedHeartbeat(EntryHeartbeat heartbeat, long receivedAtMs) {}

    /**
     * Creates the election of an entry.
     *
     * @param capacityMilli processor capacity of this entry, in thousandths of a processor
     */
    public OwnerElection(ProcessId self, long capacityMilli, long nowMs) {
        mSelf = self;
        mCapacityDelayMs =
                Math.min(
                        MAXIMUM_CAPACITY_DELAY_MS,
                        CLAIM_DELAY_MS * 1000 / Math.max(1, capacityMilli));
        mStaggerMs = staggerMs(self);
        mOwnerHeartbeatAtMs = nowMs - NEVER_HEARD_AGE_MS;
        mClaimKnownAtMs = nowMs;
        mTickedAtMs = nowMs;
        mResumedAtMs = nowMs - NEVER_HEARD_AGE_MS;
    }

    // Multiples of the golden ratio spread names that differ in the last digit evenly.
    private static long staggerMs(ProcessId process) {
        long fraction = process.value().hashCode() * 0x9E3779B97F4A7C15L;
        return ((fraction >>> 32) * STAGGER_RANGE_MS) >>> 32;
    }

    /**
     * Handles a tick, several of which occur in a second.
     *
     * @param otherEntriesKnown whether the fleet has other entries, connected or not
     * @param logReadAtMs time at which the log of the jobs was last read to its end
     */
    public synchronized void onTick(boolean otherEntriesKnown, long logReadAtMs, long nowMs) {
        if (isPaused(nowMs)) {
            mResumedAtMs = nowMs;
        }
        mTickedAtMs = nowMs;
        mOtherEntriesKnown = otherEntriesKnown;
        mLogReadAtMs = logReadAtMs;
    }

    private boolean isPaused(long nowMs) {
        return nowMs - mTickedAtMs > PAUSE_MS;
    }

    /** Handles a record that only an owner can have written a short time ago. */
    public synchronized void onOwnerRecordRead(long nowMs) {
        mOwnerRecordAtMs = nowMs;
    }

    /**
     * Handles a claim that was stored before this entry started; does not wait for heartbeats of an
     * owner that is not connected.
     */
    public synchronized void onClaimLoaded(ProcessId owner, Epoch epoch, long nowMs) {
        if (epoch.compareTo(mEpoch) > 0) {
            onOwnershipClaimed(owner, epoch, nowMs);
            mOwnerConnected = mPeers.containsKey(owner);
        }
    }

    /** Handles a claim; ignores it unless its epoch is the highest so far. */
    public synchronized void onOwnershipClaimed(ProcessId owner, Epoch epoch, long nowMs) {
        if (epoch.compareTo(mEpoch) <= 0) {
            return;
        }
        mOwner = Optional.of(owner);
        mEpoch = epoch;
        mOwnerHeartbeatAtMs = nowMs - NEVER_HEARD_AGE_MS;
        mClaimKnownAtMs = nowMs;
        mOwnerConnected = true;
    }

    /** Handles that this entry starts to schedule the jobs under the epoch of its claim. */
    public synchronized void onSchedulingStarted(Epoch epoch, long nowMs) {
        onOwnershipClaimed(mSelf, epoch, nowMs);
        mScheduledEpoch = Optional.of(epoch);
        mFailedClaimPauseMs = 0;
    }

    /** Handles that this entry no longer schedules the jobs. */
    public synchronized void onSchedulingStopped(long nowMs) {
        if (isScheduling()) {
            mOwnerHeartbeatAtMs = nowMs;
        }
        mScheduledEpoch = Optional.empty();
    }

    /**
     * Handles a claim of this entry after which it does not start to schedule; its peers claim
     * first. The pause before its next claim grows until an owner schedules.
     */
    public synchronized void onClaimFailed(long nowMs) {
        mOfferedEpoch = Optional.empty();
        mFailedClaimPauseMs =
                Math.min(
                        MAXIMUM_FAILED_CLAIM_PAUSE_MS,
                        Math.max(INITIAL_FAILED_CLAIM_PAUSE_MS, 2 * mFailedClaimPauseMs));
        mNextClaimAtMs = nowMs + mFailedClaimPauseMs;
    }

    /**
     * Handles the heartbeat of a peer.
     *
     * @return whether the owner that this entry follows sent it while it schedules
     */
    public synchronized boolean onPeerHeartbeat(
            ProcessId peer, EntryHeartbeat heartbeat, long nowMs) {
        mPeers.put(peer, new ReceivedHeartbeat(heartbeat, nowMs));
        heartbeat.owner().ifPresent(owner -> onOwnershipClaimed(owner, heartbeat.epoch(), nowMs));
        boolean sentBySchedulingOwner =
                heartbeat.owner().equals(Optional.of(peer))
                        && heartbeat.epoch().equals(mEpoch)
                        && heartbeat.ownerHeartbeatAgeMs() == 0;
        if (sentBySchedulingOwner) {
            mFailedClaimPauseMs = 0;
            mOwnerHeartbeatAtMs = nowMs;
            mOwnerConnected = true;
        }
        return sentBySchedulingOwner;
    }

    /** Handles the loss of all links to a peer. */
    public synchronized void onPeerDisconnected(ProcessId peer) {
        mPeers.remove(peer);
        if (mOwner.equals(Optional.of(peer))) {
            mOwnerConnected = false;
        }
    }

    /**
     * Handles the offer of the owner to hand over to this entry; ignores offers of another epoch,
     * and those that may have waited while this process was paused.
     */
    public synchronized void onOwnershipOffered(Epoch epoch, long nowMs) {
        boolean delayed = isPaused(nowMs) || nowMs - mResumedAtMs < OWNER_TIMEOUT_MS;
        if (epoch.equals(mEpoch) && !delayed) {
            mOfferedEpoch = Optional.of(epoch);
            mOfferedUntilMs = nowMs + OWNER_TIMEOUT_MS;
        }
    }

    /** Returns the owner with the highest known epoch. */
    public synchronized Optional<ProcessId> owner() {
        return mOwner;
    }

    /** Returns the epoch of the known owner. */
    public synchronized Epoch epoch() {
        return mEpoch;
    }

    /**
     * Returns the time since the last heartbeat of the owner, in milliseconds; 0 if this entry is
     * the owner and schedules.
     */
    public synchronized long ownerHeartbeatAgeMs(long nowMs) {
        return isScheduling() ? 0 : nowMs - mOwnerHeartbeatAtMs;
    }

    private boolean isScheduling() {
        return isOwner() && mScheduledEpoch.equals(Optional.of(mEpoch));
    }

    /** Returns whether this entry has the highest claim that it knows of. */
    public synchronized boolean isOwner() {
        return mOwner.equals(Optional.of(mSelf));
    }

    /** Returns whether this entry should claim the ownership of the jobs now. */
    public synchronized boolean shouldClaimOwnership(long nowMs) {
        if (nowMs < mOfferedUntilMs && mOfferedEpoch.equals(Optional.of(mEpoch))) {
            return true;
        }
        if (nowMs < mNextClaimAtMs) {
            return false;
        }
        if (isIsolated(nowMs)) {
            return mLogReadAtMs - logSilentSinceMs() >= ISOLATED_TIMEOUT_MS + claimDelayMs();
        }
        if (nowMs - ownerSilentSinceMs() < ownerTimeoutMs() + claimDelayMs()) {
            return false;
        }
        return mPeers.values().stream().noneMatch(received -> confirmsOwner(received, nowMs));
    }

    // Only other entries can claim at the same time.
    private long claimDelayMs() {
        return mOtherEntriesKnown ? mCapacityDelayMs + mStaggerMs : mCapacityDelayMs;
    }

    private boolean isIsolated(long nowMs) {
        return mOtherEntriesKnown
                && mPeers.values().stream().noneMatch(received -> isRecent(received, nowMs));
    }

    private static boolean isRecent(ReceivedHeartbeat received, long nowMs) {
        return nowMs - received.receivedAtMs() <= PEER_HEARTBEAT_VALIDITY_MS;
    }

    private long logSilentSinceMs() {
        return Math.max(mOwnerRecordAtMs, Math.max(ownerSilentSinceMs(), mClaimKnownAtMs));
    }

    // A new owner gets time to start, unless it is this entry, which knows whether it schedules.
    // What this entry has missed during its own pause says nothing about the owner.
    private long ownerSilentSinceMs() {
        long silentSinceMs = Math.max(mOwnerHeartbeatAtMs, mResumedAtMs);
        return isOwner() ? silentSinceMs : Math.max(silentSinceMs, mClaimKnownAtMs);
    }

    private long ownerTimeoutMs() {
        return mOwner.isPresent() && mOwnerConnected ? OWNER_TIMEOUT_MS : RECONNECT_TIMEOUT_MS;
    }

    private boolean confirmsOwner(ReceivedHeartbeat received, long nowMs) {
        if (!isRecent(received, nowMs) || mOwner.isEmpty()) {
            return false;
        }
        EntryHeartbeat heartbeat = received.heartbeat();
        return heartbeat.epoch().equals(mEpoch)
                && !heartbeat.owner().equals(Optional.of(mSelf))
                && heartbeat.ownerHeartbeatAgeMs() + nowMs - received.receivedAtMs()
                        < Math.max(MINIMUM_CONFIRMED_AGE_MS, ownerTimeoutMs());
    }
}
