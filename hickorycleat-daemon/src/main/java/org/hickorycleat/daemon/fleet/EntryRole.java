package org.hickorycleat.daemon.fleet;

import io.netty.channel.EventLoopGroup;
import io.reactivex.rxjava3.core.Scheduler;
import io.reactivex.rxjava3.core.Single;
import java.io.IOException;
import java.time.Duration;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import org.hickorycleat.daemon.Lifecycle;
import org.hickorycleat.daemon.exchange.NettyHttpClient;
import org.hickorycleat.daemon.exchange.NettyHttpServer;
import org.hickorycleat.daemon.logging.EventLog;
import org.hickorycleat.daemon.transport.MessageTransport;
import org.hickorycleat.logic.configuration.ConfigurationFetcher;
import org.hickorycleat.logic.directory.JobDirectory;
import org.hickorycleat.logic.directory.JobRecord;
import org.hickorycleat.logic.dispatch.DispatchSettings;
import org.hickorycleat.logic.dispatch.Dispatcher;
import org.hickorycleat.logic.election.EpochGenerator;
import org.hickorycleat.logic.election.OwnerElection;
import org.hickorycleat.logic.election.OwnershipTransfer;
import org.hickorycleat.logic.election.PeerStorePaths;
import org.hickorycleat.logic.port.HttpRequest;
import org.hickorycleat.logic.port.HttpResponse;
import org.hickorycleat.logic.port.SingleCallbacks;
import org.hickorycleat.model.identifier.Epoch;
import org.hickorycleat.model.identifier.ProcessId;
import org.hickorycleat.model.job.JobId;
import org.hickorycleat.model.job.JobSubmission;
import org.hickorycleat.model.job.WorkloadConfiguration;
import org.hickorycleat.model.message.ConfigurationCopy;
import org.hickorycleat.model.message.ConfigurationRequest;
import org.hickorycleat.model.message.EntryHeartbeat;
import org.hickorycleat.model.message.FleetNode;
import org.hickorycleat.model.message.JobAccepted;
import org.hickorycleat.model.message.JobCancelled;
import org.hickorycleat.model.message.JobStates;
import org.hickorycleat.model.message.Message;
import org.hickorycleat.model.message.OwnershipOffer;
import org.hickorycleat.model.message.ProcessRole;
import org.hickorycleat.model.message.RelayedStoreRequest;
import org.hickorycleat.model.message.RelayedStoreResponse;
import org.hickorycleat.model.message.RunRejected;
import org.hickorycleat.model.message.WorkerReport;
import org.hickorycleat.model.node.NodeSettings;
import org.hickorycleat.model.store.AppendOutcome;
import org.hickorycleat.model.store.AppendResult;
import org.hickorycleat.model.store.Producer;
import org.hickorycleat.model.store.StoreAppendRequest;
import org.hickorycleat.model.store.StoreRecord;
import org.hickorycleat.platform.HttpRecordStore;
import org.hickorycleat.platform.JobRequestHandler;
import org.hickorycleat.platform.WorkloadConfigurationReader;

/** Runs an entry: accepts jobs from callers, and schedules all jobs while it is the owner. */
final class EntryRole implements Lifecycle, FleetLinkListener, DurableJobService.Listener {
    private static final EventLog LOG = EventLog.of(EntryRole.class);

    /** Timeout of a store request, in milliseconds; above the response time of a slow store. */
    private static final int STORE_TIMEOUT_MS = 600;

    /** Maximum wait of a long poll for the configuration, in milliseconds. */
    private static final int CONFIGURATION_LONG_POLL_MS = 1_000;

    /** Maximum wait of a long poll for job records, in milliseconds. */
    private static final int JOBS_LONG_POLL_MS = 1_000;

    /** Delay between two reads of job records, in milliseconds; peers broadcast changes sooner. */
    private static final long JOBS_POLL_DELAY_MS = 500;

    /** Interval between two heartbeats to peers, in milliseconds. */
    private static final long HEARTBEAT_INTERVAL_MS = 200;

    /** Interval between two reads of the entry list, in milliseconds. */
    private static final long ENTRIES_INTERVAL_MS = 5_000;

    /** Interval between two log lines on the ownership of the jobs, in milliseconds. */
    private static final long OWNERSHIP_LOG_INTERVAL_MS = 5_000;

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

    /** Maximum time that a drain waits for work in progress, in milliseconds. */
    private static final long DRAIN_TIMEOUT_MS = 5_000;

    private final NodeSettings mSettings;
    private final FleetNode mSelf;
    private final Scheduler mScheduler;
    private final MessageTransport mTransport;
    private final FleetLinks mLinks;
    private final RelayingRecordStore mStore;
    private final EntryListReader mEntryListReader;
    private final JobLogCodec mCodec = new JobLogCodec();
    private final JobDirectory mDirectory = new JobDirectory();
    private final WorkloadConfigurationCache mConfiguration;
    private final ConfigurationFetcher mConfigurationFetcher;
    private final ConfigurationCopySender mConfigurationCopySender;
    private final TopicConsumer mConfigurationConsumer;
    private final TopicConsumer mJobsConsumer;
    private final DurableJobService mJobService;
    private final OwnerElection mElection;
    private final OwnershipTransfer mTransfer;
    private final NettyHttpServer mCallerServer;
    private final NettyHttpServer mReadinessServer;
    private final NettyHttpServer mAdminServer;
    private final ProcessMetrics mMetrics;
    private final Map<ProcessId, EntryHeartbeat> mPeerHeartbeats = new HashMap<>();
    private final PeerStorePaths mPeerStorePaths = new PeerStorePaths();
    private Optional<OwnerRole> mOwnerRole = Optional.empty();
    private boolean mClaiming;
    private boolean mDraining;
    private long mClaimsPausedUntilMs = Long.MIN_VALUE;
    private long mEntriesReadAtMs = Long.MIN_VALUE / 2;
    private long mOwnershipLoggedAtMs;

    EntryRole(
            NodeSettings settings,
            FleetNode self,
            EventLoopGroup eventLoops,
            MessageTransport transport,
            Scheduler scheduler,
            ProcessMetrics metrics) {
        mMetrics = metrics;
        mAdminServer = new NettyHttpServer(eventLoops);
        mSettings = settings;
        mSelf = self;
        mScheduler = scheduler;
        mTransport = transport;
        mLinks = new FleetLinks(transport, self, this, scheduler);
        HttpRecordStore directStore =
                new HttpRecordStore(
                        new NettyHttpClient(eventLoops), settings.storeAddress(), STORE_TIMEOUT_MS);
        RelaySelector relays =
                new RelaySelector(self.process(), this::peersReachingStore, scheduler);
        mStore = new RelayingRecordStore(directStore, mLinks::send, relays, scheduler);
        mEntryListReader = new EntryListReader(mStore, mLinks, mCodec);
        mConfiguration = new WorkloadConfigurationCache(this::onConfiguration);
        mConfigurationFetcher = new ConfigurationFetcher(self.process());
        mConfigurationCopySender =
                new ConfigurationCopySender(mConfiguration, mLinks::send, metrics);
        mConfigurationConsumer =
                new TopicConsumer(
                        mStore,
                        WorkloadConfigurationReader.TOPIC,
                        this::onConfigurationRecord,
                        scheduler,
                        CONFIGURATION_LONG_POLL_MS,
                        0);
        mJobsConsumer =
                new TopicConsumer(
                        mStore,
                        JobLogCodec.JOBS_TOPIC,
                        this::onJobRecord,
                        scheduler,
                        JOBS_LONG_POLL_MS,
                        JOBS_POLL_DELAY_MS);
        mJobService =
                new DurableJobService(
                        mStore,
                        mJobsConsumer,
                        mDirectory,
                        mCodec,
                        mConfiguration::configuration,
                        this,
                        scheduler);
        mElection = new OwnerElection(self.process(), self.capacityMilli(), nowMs());
        mTransfer = new OwnershipTransfer(self.capacityMilli());
        mCallerServer = new NettyHttpServer(eventLoops);
        mReadinessServer = new NettyHttpServer(eventLoops);
    }

    @Override
    public void start() throws InterruptedException {
        mAdminServer.listen(mSettings.adminAddress(), mMetrics::serve);
        mLinks.start(mSettings.seeds());
        mConfigurationConsumer.start();
        mJobsConsumer.start();
        announce();
        JobRequestHandler handler = new JobRequestHandler(mJobService, System::currentTimeMillis);
        mCallerServer.listen(
                mSettings.callerAddress().orElseThrow(),
                request -> handleAndTime(handler, request));
        mReadinessServer.listen(
                mSettings.readinessAddress().orElseThrow(), request -> readinessResponse());
        tick();
    }

    private Single<HttpResponse> handleAndTime(JobRequestHandler handler, HttpRequest request) {
        long startNanos = System.nanoTime();
        return handler.handle(request)
                .doOnSuccess(
                        response -> mMetrics.recordResponseTime(System.nanoTime() - startNanos));
    }

    private Single<HttpResponse> readinessResponse() {
        return Single.just(HttpResponse.of(isReady() ? 200 : 503, new byte[] {'{', '}'}));
    }

    private synchronized boolean isReady() {
        return !mDraining && mConfiguration.configuration().isPresent() && mJobsConsumer.isLoaded();
    }

    private void announce() {
        SingleCallbacks.subscribe(
                mStore.append(
                        StoreAppendRequest.unconditional(JobLogCodec.ENTRIES_TOPIC, 0),
                        List.of(mCodec.encodeEntry(mSelf))),
                outcome -> {
                    if (outcome.result() != AppendResult.APPENDED) {
                        mScheduler.scheduleDirect(
                                this::announce, ENTRIES_INTERVAL_MS, TimeUnit.MILLISECONDS);
                    }
                },
                error -> LOG.event("announce_failed").with("cause", error).warn());
    }

    private void tick() {
        GuardedTask.run("election", this::tickElection);
        GuardedTask.run("heartbeat", this::sendHeartbeat);
        GuardedTask.run("check_ownership", this::checkOwnership);
        mScheduler.scheduleDirect(this::tick, HEARTBEAT_INTERVAL_MS, TimeUnit.MILLISECONDS);
    }

    private void tickElection() {
        boolean otherEntriesKnown = mLinks.entries().size() > 1;
        mElection.onTick(otherEntriesKnown, mJobsConsumer.readAtMs(), nowMs());
    }

    private void checkOwnership() {
        if (nowMs() - mEntriesReadAtMs > ENTRIES_INTERVAL_MS) {
            mEntriesReadAtMs = nowMs();
            mEntryListReader.read();
        }
        giveUpOwnershipIfUnableToAppend();
        claimOwnershipIfNeeded();
        transferOwnershipIfNeeded();
        logOwnershipIfDue();
    }

    private void logOwnershipIfDue() {
        if (nowMs() - mOwnershipLoggedAtMs < OWNERSHIP_LOG_INTERVAL_MS) {
            return;
        }
        mOwnershipLoggedAtMs = nowMs();
        LOG.event("ownership_status")
                .with("owner", mElection.owner())
                .with("epoch", mElection.epoch())
                .with("heard_ms", mElection.ownerHeartbeatAgeMs(nowMs()))
                .with("scheduling", ownerRole().isPresent())
                .with("jobs_loaded", mJobsConsumer.isLoaded())
                .with("store_reachable", mStore.isDirectlyReachable())
                .info();
    }

    private void sendHeartbeat() {
        mLinks.broadcast(
                new EntryHeartbeat(
                        mElection.owner(),
                        mElection.epoch(),
                        mElection.ownerHeartbeatAgeMs(nowMs()),
                        mConfiguration.version(),
                        mStore.isDirectlyReachable() && !isDraining()),
                ProcessRole.ENTRY);
    }

    private List<FleetNode> peersReachingStore() {
        List<FleetNode> peers = mLinks.connectedPeers(ProcessRole.ENTRY);
        synchronized (mPeerHeartbeats) {
            return peers.stream().filter(this::reachesStore).toList();
        }
    }

    private boolean reachesStore(FleetNode peer) {
        EntryHeartbeat heartbeat = mPeerHeartbeats.get(peer.process());
        return heartbeat != null && heartbeat.storeReachable();
    }

    // ---- ownership

    private synchronized void claimOwnershipIfNeeded() {
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
        claimOwnership(EpochGenerator.next(later(mElection.epoch(), mDirectory.epoch()), mSelf));
    }

    private static Epoch later(Epoch left, Epoch right) {
        return left.compareTo(right) > 0 ? left : right;
    }

    // The producer epoch makes this entry the only writer of progress; all earlier progress records
    // precede the claim in the log.
    private void claimOwnership(Epoch epoch) {
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
        LOG.event("owner_started")
                .with("epoch", epoch)
                .with("jobs", mDirectory.jobs().size())
                .info();
        OwnerRole owner =
                new OwnerRole(
                        mSelf,
                        epoch,
                        mStore,
                        mLinks,
                        mDirectory,
                        mCodec,
                        mScheduler,
                        DispatchSettings.of(mSettings.maximumLeaseMs()),
                        mMetrics.decisionLog(Dispatcher.class),
                        this::stopOwner);
        mOwnerRole = Optional.of(owner);
        sendHeartbeat();
        owner.start(mConfiguration.configuration());
    }

    private synchronized void stopOwner() {
        mOwnerRole.ifPresent(OwnerRole::stop);
        mOwnerRole = Optional.empty();
        mElection.onSchedulingStopped(nowMs());
        mTransfer.onOwnershipEnded();
    }

    // Nothing that this owner decides takes effect, while a peer could schedule.
    private synchronized void giveUpOwnershipIfUnableToAppend() {
        long appendAgeMs = mOwnerRole.map(OwnerRole::pendingAppendAgeMs).orElse(0L);
        boolean peerCanAppend = mPeerStorePaths.isStoreServingPeer(nowMs());
        if (appendAgeMs <= MAXIMUM_APPEND_AGE_MS || !peerCanAppend) {
            return;
        }
        LOG.event("owner_unable_to_append").with("pending_ms", appendAgeMs).warn();
        mClaimsPausedUntilMs = nowMs() + CLAIM_PAUSE_MS;
        stopOwner();
    }

    private synchronized void stopIfReplaced() {
        boolean replaced =
                mOwnerRole.isPresent() && mOwnerRole.get().epoch().compareTo(mElection.epoch()) < 0;
        if (replaced) {
            LOG.event("owner_succeeded").with("epoch", mElection.epoch()).info();
            stopOwner();
        }
    }

    private synchronized Optional<OwnerRole> ownerRole() {
        return mOwnerRole;
    }

    private synchronized void transferOwnershipIfNeeded() {
        if (mOwnerRole.isEmpty() || mDraining) {
            return;
        }
        OwnerRole owner = mOwnerRole.get();
        if (mTransfer.abandonIfTimedOut(nowMs())) {
            LOG.event("owner_transfer_abandoned").with("epoch", owner.epoch()).info();
            mElection.onSchedulingStarted(owner.epoch(), nowMs());
            owner.dispatcher().resumePlacement();
        }
        List<FleetNode> eligible =
                mLinks.connectedPeers(ProcessRole.ENTRY).stream()
                        .filter(peer -> canReachStore(peer.process()))
                        .toList();
        if (owner.dispatcher().isWaitingForLease()) {
            return;
        }
        mTransfer
                .startIfDue(eligible, nowMs())
                .ifPresent(
                        successor -> {
                            owner.dispatcher().stopPlacement();
                            offerOwnership(
                                    owner,
                                    successor,
                                    mTransfer::isInProgress,
                                    () ->
                                            mTransfer.isOfferDue(
                                                    owner.dispatcher().isDurable(), nowMs()));
                        });
    }

    // ---- records

    private void onConfigurationRecord(StoreRecord record) {
        if (record.key().equals(WorkloadConfigurationReader.KEY)) {
            mConfiguration.updateIfNewer(record.value(), "store");
        }
    }

    private void onConfiguration(WorkloadConfiguration configuration) {
        ownerRole().ifPresent(owner -> owner.dispatcher().onConfigurationChanged(configuration));
    }

    private void onJobRecord(StoreRecord stored) {
        Optional<JobRecord> record = mCodec.decode(stored);
        if (record.isEmpty()) {
            return;
        }
        mDirectory.apply(record.get());
        if (record.get() instanceof JobRecord.Claimed claimed) {
            onClaimRead(claimed);
            stopIfReplaced();
        } else if (record.get() instanceof JobRecord.Progressed && mJobsConsumer.isLoaded()) {
            mElection.onOwnerRecordRead(nowMs());
        } else if (record.get() instanceof JobRecord.Submitted submitted) {
            ownerRole()
                    .ifPresent(owner -> owner.dispatcher().onJobSubmitted(submitted.submission()));
        } else if (record.get() instanceof JobRecord.Cancelled cancelled) {
            ownerRole().ifPresent(owner -> owner.dispatcher().onJobCancelled(cancelled.job()));
        }
    }

    private void onClaimRead(JobRecord.Claimed claimed) {
        ProcessId owner = claimed.owner().process();
        if (mJobsConsumer.isLoaded()) {
            mElection.onOwnershipClaimed(owner, claimed.epoch(), nowMs());
        } else {
            mElection.onClaimLoaded(owner, claimed.epoch(), nowMs());
        }
    }

    @Override
    public void onJobSubmitted(JobSubmission submission) {
        ownerRole().ifPresent(owner -> owner.dispatcher().onJobSubmitted(submission));
        mLinks.broadcast(new JobAccepted(submission), ProcessRole.ENTRY);
    }

    @Override
    public void onJobCancelled(JobId job) {
        ownerRole().ifPresent(owner -> owner.dispatcher().onJobCancelled(job));
        mLinks.broadcast(new JobCancelled(job), ProcessRole.ENTRY);
    }

    // ---- links

    @Override
    public void onConnected(FleetNode peer) {
        if (peer.role() == ProcessRole.AGENT) {
            ownerRole().ifPresent(owner -> owner.onAgentConnected(peer.process()));
        } else {
            sendHeartbeat();
        }
    }

    @Override
    public void onDisconnected(FleetNode peer) {
        if (peer.role() == ProcessRole.AGENT) {
            ownerRole().ifPresent(owner -> owner.dispatcher().onAgentDisconnected(peer.process()));
            return;
        }
        mElection.onPeerDisconnected(peer.process());
        mPeerStorePaths.onPeerDisconnected(peer.process());
        mConfigurationFetcher.onPeerDisconnected(peer.process());
        synchronized (mPeerHeartbeats) {
            mPeerHeartbeats.remove(peer.process());
        }
    }

    @Override
    public void onMessage(FleetNode peer, Message message) {
        if (message instanceof WorkerReport report) {
            ownerRole().ifPresent(owner -> owner.onWorkerReport(peer.process(), report));
        } else if (message instanceof RunRejected rejected) {
            ownerRole().ifPresent(owner -> owner.onRunRejected(peer.process(), rejected));
        } else if (message instanceof EntryHeartbeat heartbeat) {
            onPeerHeartbeat(peer, heartbeat);
        } else if (message instanceof JobAccepted accepted) {
            mDirectory.onJobSubmitted(accepted.submission());
            ownerRole()
                    .ifPresent(owner -> owner.dispatcher().onJobSubmitted(accepted.submission()));
        } else if (message instanceof JobCancelled cancelled) {
            mDirectory.onJobCancelled(cancelled.job());
            ownerRole().ifPresent(owner -> owner.dispatcher().onJobCancelled(cancelled.job()));
        } else if (message instanceof JobStates states) {
            states.jobs().forEach(mDirectory::onJobStateChanged);
        } else if (message instanceof RelayedStoreRequest request) {
            mStore.onRelayedRequest(peer.process(), request);
        } else if (message instanceof RelayedStoreResponse response) {
            mStore.onRelayedResponse(response);
        } else if (message instanceof ConfigurationCopy copy) {
            onConfigurationCopy(peer.process(), copy);
        } else if (message instanceof ConfigurationRequest request) {
            mConfigurationCopySender.onRequest(peer.process(), request);
        } else if (message instanceof OwnershipOffer offer) {
            mElection.onOwnershipOffered(offer.epoch(), nowMs());
            claimOwnershipIfNeeded();
        }
    }

    private void onPeerHeartbeat(FleetNode peer, EntryHeartbeat heartbeat) {
        synchronized (mPeerHeartbeats) {
            mPeerHeartbeats.put(peer.process(), heartbeat);
        }
        mPeerStorePaths.onReport(peer.process(), heartbeat.storeReachable(), nowMs());
        mElection.onPeerHeartbeat(peer.process(), heartbeat, nowMs());
        stopIfReplaced();
        mConfigurationFetcher.onPeerHeartbeat(peer, heartbeat.configurationVersion());
        requestConfigurationIfBehind();
    }

    private void requestConfigurationIfBehind() {
        long version = mConfiguration.version();
        Optional<ProcessId> peer = mConfigurationFetcher.startRequest(version, nowMs());
        if (peer.isEmpty()) {
            return;
        }
        boolean sent = mLinks.send(peer.get(), new ConfigurationRequest(version));
        if (!sent) {
            mConfigurationFetcher.onRequestUnsent();
        }
        LOG.event("configuration_requested")
                .with("peer", peer.get())
                .with("known", version)
                .with("sent", sent)
                .info();
    }

    private void onConfigurationCopy(ProcessId peer, ConfigurationCopy copy) {
        try {
            byte[] content = ConfigurationCompression.decompress(copy.compressedContent());
            mConfiguration.updateIfNewer(content, "peer");
        } catch (IOException e) {
            LOG.event("configuration_malformed").with("source", peer).with("cause", e).warn();
        }
        mConfigurationFetcher.onCopyReceived(peer, mConfiguration.version());
    }

    // ---- shutdown

    @Override
    public void drain() {
        synchronized (this) {
            mDraining = true;
            mTransfer.onOwnershipEnded();
        }
        LOG.event("drain_started").with("owner", ownerRole().isPresent()).info();
        mCallerServer.disableKeepAlive();
        ownerRole().ifPresent(this::handOver);
    }

    // Dispatching continues until an entry that can become the next owner is connected.
    private void handOver(OwnerRole owner) {
        if (!isCurrent(owner)) {
            return;
        }
        Optional<FleetNode> nextOwner =
                mLinks.connectedPeers(ProcessRole.ENTRY).stream()
                        .filter(peer -> canReachStore(peer.process()))
                        .max(Comparator.comparingLong(FleetNode::capacityMilli));
        if (nextOwner.isEmpty()) {
            mScheduler.scheduleDirect(
                    () -> handOver(owner), HEARTBEAT_INTERVAL_MS, TimeUnit.MILLISECONDS);
            return;
        }
        owner.dispatcher().stopPlacement();
        offerOwnership(
                owner, nextOwner.get().process(), () -> true, () -> owner.dispatcher().isDurable());
    }

    private void offerOwnership(
            OwnerRole owner, ProcessId nextOwner, BooleanSupplier intended, BooleanSupplier due) {
        if (!isCurrent(owner) || !intended.getAsBoolean()) {
            return;
        }
        if (!due.getAsBoolean()) {
            mScheduler.scheduleDirect(
                    () -> offerOwnership(owner, nextOwner, intended, due),
                    DURABILITY_CHECK_INTERVAL_MS,
                    TimeUnit.MILLISECONDS);
            return;
        }
        LOG.event("owner_handing_over").with("successor", nextOwner).info();
        mLinks.send(nextOwner, new OwnershipOffer(owner.epoch()));
        mTransfer.onOffered(nowMs());
        // Another entry claims if the successor does not.
        mElection.onSchedulingStopped(nowMs());
    }

    private boolean isCurrent(OwnerRole owner) {
        return ownerRole().filter(current -> current == owner).isPresent();
    }

    private boolean canReachStore(ProcessId peer) {
        synchronized (mPeerHeartbeats) {
            return mPeerHeartbeats.containsKey(peer) && mPeerHeartbeats.get(peer).storeReachable();
        }
    }

    @Override
    public synchronized boolean isDraining() {
        return mDraining;
    }

    @Override
    public boolean isIdle() {
        return mCallerServer.requestsInProgress() == 0
                && mJobService.isIdle()
                && ownerRole().isEmpty();
    }

    @Override
    public Duration drainTimeout() {
        return Duration.ofMillis(DRAIN_TIMEOUT_MS);
    }

    @Override
    public void close() {
        ownerRole().ifPresent(OwnerRole::stop);
        // Stops the event loops, which all servers and clients of this role share.
        mTransport.close();
    }

    private long nowMs() {
        return mScheduler.now(TimeUnit.MILLISECONDS);
    }
}
