package org.hickorycleat.daemon.fleet;

import io.reactivex.rxjava3.core.Scheduler;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import org.hickorycleat.daemon.logging.EventLog;
import org.hickorycleat.logic.directory.JobDirectory;
import org.hickorycleat.logic.directory.JobRecord;
import org.hickorycleat.logic.election.DrainHandover;
import org.hickorycleat.logic.election.EpochGenerator;
import org.hickorycleat.logic.election.LeaseAuthority;
import org.hickorycleat.logic.election.OwnerElection;
import org.hickorycleat.logic.election.OwnerSuccession;
import org.hickorycleat.logic.election.OwnershipTransfer;
import org.hickorycleat.logic.election.PeerStorePaths;
import org.hickorycleat.logic.port.SingleCallbacks;
import org.hickorycleat.model.identifier.Epoch;
import org.hickorycleat.model.identifier.ProcessId;
import org.hickorycleat.model.message.EntryHeartbeat;
import org.hickorycleat.model.message.FleetNode;
import org.hickorycleat.model.message.OwnershipOffer;
import org.hickorycleat.model.store.AppendOutcome;
import org.hickorycleat.model.store.Producer;
import org.hickorycleat.model.store.StoreAppendRequest;
import org.hickorycleat.model.store.StoreRecord;

/** Claims, gives up and hands over the ownership of the jobs on behalf of one entry. */
final class JobOwnership {
    private static final EventLog LOG = EventLog.of(JobOwnership.class);

    /** Interval between two log lines on the ownership of the jobs, in milliseconds. */
    private static final long LOG_INTERVAL_MS = 5_000;

    /** Interval between two checks whether all decisions are durable, in milliseconds. */
    private static final long DURABILITY_CHECK_INTERVAL_MS = 20;

    /** Maximum time for reading whether a claim is the newest, in milliseconds. */
    private static final long CLAIM_READ_TIMEOUT_MS = 3_000;

    /**
     * Time after which the owner counts as unable to append, in milliseconds; a peer reports within
     * this time that the store has stopped to respond to it as well.
     */
    private static final long MAXIMUM_APPEND_AGE_MS = 2_500;

    /** Time for which an owner that could not append leaves claims to others, in milliseconds. */
    private static final long CLAIM_PAUSE_MS = 5_000;

    private final FleetNode mSelf;
    private final FleetLinks mLinks;
    private final RelayingRecordStore mStore;
    private final TopicConsumer mJobsConsumer;
    private final JobDirectory mDirectory;
    private final JobLogCodec mCodec;
    private final Scheduler mScheduler;
    private final Supplier<List<FleetNode>> mPeersReachingStore;
    private final OwnerFactory mOwnerFactory;
    private final Listener mListener;
    private final OwnerElection mElection;
    private final OwnerSuccession mSuccession;
    private final OwnershipTransfer mTransfer;
    private final DrainHandover mDrainHandover = new DrainHandover();
    private final PeerStorePaths mPeerStorePaths = new PeerStorePaths();
    private Optional<OwnerRole> mOwnerRole = Optional.empty();
    private boolean mClaiming;
    private boolean mDraining;
    private boolean mReadingLog;
    private long mClaimsPausedUntilMs = Long.MIN_VALUE;
    private long mLoggedAtMs;

    /** Handles the start of an ownership. */
    @FunctionalInterface
    interface Listener {
        /** Announces the new owner and starts its role. */
        void onOwnershipStarted(OwnerRole owner);
    }

    /** Creates the role of an owner. */
    @FunctionalInterface
    interface OwnerFactory {
        /**
         * Creates the role of an owner with the epoch of its claim.
         *
         * @param previousOwnerLeaseMs longest time for which a previous owner may still extend
         *     leases, in milliseconds
         */
        OwnerRole create(Epoch epoch, int previousOwnerLeaseMs);
    }

    /**
     * Creates the ownership of an entry, which does not own the jobs yet.
     *
     * @param peersReachingStore returns the connected entries that reach the store and do not drain
     * @param ownerFactory creates the role of this entry as owner
     */
    JobOwnership(
            FleetNode self,
            FleetLinks links,
            RelayingRecordStore store,
            TopicConsumer jobsConsumer,
            JobDirectory directory,
            JobLogCodec codec,
            Scheduler scheduler,
            Supplier<List<FleetNode>> peersReachingStore,
            OwnerFactory ownerFactory,
            Listener listener) {
        mSelf = self;
        mLinks = links;
        mStore = store;
        mJobsConsumer = jobsConsumer;
        mDirectory = directory;
        mCodec = codec;
        mScheduler = scheduler;
        mPeersReachingStore = peersReachingStore;
        mOwnerFactory = ownerFactory;
        mListener = listener;
        mElection = new OwnerElection(self.process(), self.capacityMilli(), nowMs());
        mSuccession =
                new OwnerSuccession(
                        () -> scheduler.now(TimeUnit.MILLISECONDS), System::currentTimeMillis);
        mTransfer = new OwnershipTransfer(self.capacityMilli());
    }

    /** Returns the role of this entry as owner; empty while it is not the owner. */
    synchronized Optional<OwnerRole> ownerRole() {
        return mOwnerRole;
    }

    /** Returns the owner with the highest known epoch. */
    Optional<ProcessId> owner() {
        return mElection.owner();
    }

    /** Returns the epoch of the known owner. */
    Epoch epoch() {
        return mElection.epoch();
    }

    /** Returns the time since the last sign of life of the owner, in milliseconds. */
    long ownerHeartbeatAgeMs() {
        return mElection.ownerHeartbeatAgeMs(nowMs());
    }

    /** Prepares the election for a check; called several times a second. */
    void tickElection() {
        boolean otherEntriesKnown = mLinks.entries().size() > 1;
        mElection.onTick(otherEntriesKnown, mJobsConsumer.readAtMs(), nowMs());
    }

    /** Claims, gives up or transfers the ownership if it is time to do so. */
    void check() {
        keepContactWithStore();
        giveUpIfUnableToAppend();
        claimIfNeeded();
        transferIfNeeded();
        logIfDue();
    }

    private void logIfDue() {
        if (nowMs() - mLoggedAtMs < LOG_INTERVAL_MS) {
            return;
        }
        mLoggedAtMs = nowMs();
        LOG.event("ownership_status")
                .with("owner", mElection.owner())
                .with("epoch", mElection.epoch())
                .with("heard_ms", mElection.ownerHeartbeatAgeMs(nowMs()))
                .with("scheduling", ownerRole().isPresent())
                .with("jobs_loaded", mJobsConsumer.isLoaded())
                .with("jobs", mDirectory.jobCount())
                .with("past_jobs", mDirectory.pastJobCount())
                .with("store_reachable", mStore.isDirectlyReachable())
                .info();
    }

    // An owner that has nothing to store reads its own log, so that it learns of a later claim.
    private synchronized void keepContactWithStore() {
        boolean due =
                mOwnerRole.isPresent()
                        && !mReadingLog
                        && mStore.lastContactAgeMs() > LeaseAuthority.STORE_CONTACT_INTERVAL_MS;
        if (!due) {
            return;
        }
        mReadingLog = true;
        SingleCallbacks.subscribe(
                mJobsConsumer.catchUp(CLAIM_READ_TIMEOUT_MS),
                endOffset -> onLogRead(),
                error -> onLogRead());
    }

    private synchronized void onLogRead() {
        mReadingLog = false;
    }

    // ---- claims

    private synchronized void claimIfNeeded() {
        if (mClaiming || mDraining || mOwnerRole.isPresent() || !mJobsConsumer.isLoaded()) {
            return;
        }
        if (nowMs() < mClaimsPausedUntilMs || !mElection.shouldClaimOwnership(nowMs())) {
            return;
        }
        mClaiming = true;
        LOG.event("owner_claiming")
                .with("former", mElection.owner())
                .with("epoch", mElection.epoch())
                .with("heard_ms", mElection.ownerHeartbeatAgeMs(nowMs()))
                .info();
        claim(EpochGenerator.next(later(mElection.epoch(), mDirectory.epoch()), mSelf));
    }

    private static Epoch later(Epoch left, Epoch right) {
        return left.compareTo(right) > 0 ? left : right;
    }

    // The producer epoch makes this entry the only writer of progress; all earlier progress records
    // precede the claim in the log.
    private void claim(Epoch epoch) {
        StoreAppendRequest request =
                new StoreAppendRequest(
                        JobLogCodec.JOBS_TOPIC,
                        0,
                        Optional.empty(),
                        Optional.of(new Producer(OwnerRole.PRODUCER, epoch.value(), 0)));
        StoreRecord record = mCodec.encode(new JobRecord.Claimed(mSelf, epoch));
        SingleCallbacks.subscribe(
                mStore.append(request, List.of(record)),
                outcome -> onClaimOutcome(epoch, outcome),
                error -> onClaimFailed("failed", error));
    }

    // The log determines the owner, even if the response to the claim was lost.
    private void onClaimOutcome(Epoch epoch, AppendOutcome outcome) {
        SingleCallbacks.subscribe(
                mJobsConsumer.catchUp(CLAIM_READ_TIMEOUT_MS),
                endOffset -> {
                    boolean isOwner =
                            mDirectory.epoch().equals(epoch)
                                    && mDirectory.owner().equals(Optional.of(mSelf));
                    if (isOwner) {
                        becomeOwner(epoch);
                    } else {
                        onClaimFailed("lost", outcome);
                    }
                },
                error -> onClaimFailed("unsettled", error));
    }

    private synchronized void onClaimFailed(String result, Object detail) {
        mClaiming = false;
        mElection.onClaimFailed(nowMs());
        LOG.event("owner_claim_ended").with("result", result).with("detail", detail).info();
    }

    private synchronized void becomeOwner(Epoch epoch) {
        mClaiming = false;
        if (mDraining || epoch.compareTo(mElection.epoch()) < 0) {
            return;
        }
        mElection.onSchedulingStarted(epoch, nowMs());
        mTransfer.onOwnershipStarted(nowMs());
        int previousOwnerLeaseMs = mSuccession.previousOwnerLeaseMs();
        LOG.event("owner_started")
                .with("epoch", epoch)
                .with("jobs", mDirectory.jobCount())
                .with("previous_owner_lease_ms", previousOwnerLeaseMs)
                .info();
        OwnerRole owner = mOwnerFactory.create(epoch, previousOwnerLeaseMs);
        mOwnerRole = Optional.of(owner);
        mListener.onOwnershipStarted(owner);
    }

    /** Handles a claim that was read from the log of the jobs. */
    void onClaimRead(JobRecord.Claimed claimed) {
        ProcessId owner = claimed.owner().process();
        mSuccession.onClaimRead(claimed.epoch(), mJobsConsumer.readAtMs());
        if (mJobsConsumer.isLoaded()) {
            mElection.onOwnershipClaimed(owner, claimed.epoch(), nowMs());
        } else {
            mElection.onClaimLoaded(owner, claimed.epoch(), nowMs());
        }
        stopIfReplaced();
    }

    /** Handles progress that was read from the log of the jobs; only an owner writes it. */
    void onProgressRead() {
        if (mJobsConsumer.isLoaded()) {
            mElection.onOwnerRecordRead(nowMs());
        }
    }

    /** Handles the heartbeat of a peer. */
    void onPeerHeartbeat(ProcessId peer, EntryHeartbeat heartbeat) {
        mPeerStorePaths.onReport(peer, heartbeat.storeReachable(), nowMs());
        boolean sentByOwner = mElection.onPeerHeartbeat(peer, heartbeat, nowMs());
        if (sentByOwner) {
            mSuccession.onOwnerHeard(heartbeat.epoch(), heartbeat.ownerHeartbeatNumber());
        }
        stopIfReplaced();
        ownerRole()
                .filter(owner -> owner.epoch().equals(heartbeat.epoch()))
                .ifPresent(
                        owner ->
                                owner.leaseAuthority()
                                        .onConfirmed(peer, heartbeat.ownerHeartbeatNumber()));
    }

    /**
     * Returns the number of a heartbeat that is sent now to the given peers if this entry is the
     * owner, else that of the owner's heartbeat to confirm.
     */
    long ownerHeartbeatNumber(List<ProcessId> peers) {
        return ownerRole()
                .map(owner -> owner.leaseAuthority().onHeartbeat(peers))
                .orElseGet(() -> mSuccession.numberToConfirm(mElection.epoch()));
    }

    /** Handles the loss of all links to a peer. */
    void onPeerDisconnected(ProcessId peer) {
        mElection.onPeerDisconnected(peer);
        mPeerStorePaths.onPeerDisconnected(peer);
    }

    /** Handles the offer of the owner to hand over to this entry. */
    void onOffered(OwnershipOffer offer) {
        mElection.onOwnershipOffered(offer.epoch(), nowMs());
        claimIfNeeded();
    }

    // ---- end of an ownership

    /** Ends the role of this entry as owner, if it has it. */
    synchronized void stopOwner() {
        mOwnerRole.ifPresent(OwnerRole::stop);
        mOwnerRole = Optional.empty();
        mElection.onSchedulingStopped(nowMs());
        mTransfer.onOwnershipEnded();
    }

    private synchronized void stopIfReplaced() {
        boolean replaced =
                mOwnerRole.isPresent() && mOwnerRole.get().epoch().compareTo(mElection.epoch()) < 0;
        if (replaced) {
            LOG.event("owner_succeeded").with("epoch", mElection.epoch()).info();
            stopOwner();
        }
    }

    // Nothing that this owner decides takes effect, while a peer could schedule.
    private synchronized void giveUpIfUnableToAppend() {
        long appendAgeMs = mOwnerRole.map(OwnerRole::pendingAppendAgeMs).orElse(0L);
        boolean peerCanAppend = mPeerStorePaths.isStoreServingPeer(nowMs());
        if (appendAgeMs <= MAXIMUM_APPEND_AGE_MS || !peerCanAppend) {
            return;
        }
        LOG.event("owner_unable_to_append").with("pending_ms", appendAgeMs).warn();
        mClaimsPausedUntilMs = nowMs() + CLAIM_PAUSE_MS;
        stopOwner();
    }

    // ---- transfer

    private synchronized void transferIfNeeded() {
        if (mOwnerRole.isEmpty() || mDraining) {
            return;
        }
        OwnerRole owner = mOwnerRole.get();
        if (mTransfer.abandonIfTimedOut(nowMs())) {
            LOG.event("owner_transfer_abandoned").with("epoch", owner.epoch()).info();
            mElection.onSchedulingStarted(owner.epoch(), nowMs());
            owner.dispatcher().resumePlacement();
        }
        if (owner.dispatcher().isWaitingForLease()) {
            return;
        }
        mTransfer
                .startIfDue(mPeersReachingStore.get(), nowMs())
                .ifPresent(successor -> transfer(owner, successor));
    }

    private void transfer(OwnerRole owner, ProcessId successor) {
        owner.dispatcher().stopPlacement();
        offerWhenDue(owner, successor);
    }

    /** Hands the ownership over, if this entry has it, and makes no further claims. */
    void drain() {
        synchronized (this) {
            mDraining = true;
            mTransfer.onOwnershipEnded();
        }
        ownerRole().ifPresent(this::handOver);
    }

    // Dispatching continues until an entry that can become the next owner is connected.
    private void handOver(OwnerRole owner) {
        if (!isCurrent(owner)) {
            return;
        }
        if (mDrainHandover.chooseSuccessor(mPeersReachingStore.get(), nowMs())) {
            owner.dispatcher().stopPlacement();
        }
        mDrainHandover
                .takeDueOffer(owner.dispatcher().isDurable(), nowMs())
                .ifPresent(successor -> sendOffer(owner, successor));
        mScheduler.scheduleDirect(
                () -> handOver(owner), DURABILITY_CHECK_INTERVAL_MS, TimeUnit.MILLISECONDS);
    }

    private void offerWhenDue(OwnerRole owner, ProcessId successor) {
        if (!isCurrent(owner) || !mTransfer.isInProgress()) {
            return;
        }
        if (!mTransfer.isOfferDue(owner.dispatcher().isDurable(), nowMs())) {
            mScheduler.scheduleDirect(
                    () -> offerWhenDue(owner, successor),
                    DURABILITY_CHECK_INTERVAL_MS,
                    TimeUnit.MILLISECONDS);
            return;
        }
        sendOffer(owner, successor);
        mTransfer.onOffered(nowMs());
    }

    private void sendOffer(OwnerRole owner, ProcessId successor) {
        LOG.event("owner_handing_over").with("successor", successor).info();
        mLinks.send(successor, new OwnershipOffer(owner.epoch()));
        // Another entry claims if the successor does not.
        mElection.onSchedulingStopped(nowMs());
    }

    private boolean isCurrent(OwnerRole owner) {
        return ownerRole().filter(current -> current == owner).isPresent();
    }

    private long nowMs() {
        return mScheduler.now(TimeUnit.MILLISECONDS);
    }
}
