package org.hickorycleat.daemon.fleet;

import io.netty.channel.EventLoopGroup;
import io.reactivex.rxjava3.core.Scheduler;
import io.reactivex.rxjava3.core.Single;
import java.time.Duration;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.hickorycleat.daemon.Lifecycle;
import org.hickorycleat.daemon.exchange.NettyHttpClient;
import org.hickorycleat.daemon.exchange.NettyHttpServer;
import org.hickorycleat.daemon.logging.EventLog;
import org.hickorycleat.daemon.transport.MessageTransport;
import org.hickorycleat.logic.directory.JobDirectory;
import org.hickorycleat.logic.directory.JobRecord;
import org.hickorycleat.logic.dispatch.DispatchSettings;
import org.hickorycleat.logic.dispatch.Dispatcher;
import org.hickorycleat.logic.election.EpochGenerator;
import org.hickorycleat.logic.election.OwnerElection;
import org.hickorycleat.logic.port.HttpRequest;
import org.hickorycleat.logic.port.HttpResponse;
import org.hickorycleat.logic.port.SingleCallbacks;
import org.hickorycleat.model.identifier.Epoch;
import org.hickorycleat.model.identifier.ProcessId;
import org.hickorycleat.model.job.JobId;
import org.hickorycleat.model.job.JobSubmission;
import org.hickorycleat.model.job.WorkloadConfiguration;
import org.hickorycleat.model.message.ConfigurationCopy;
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

/** Role of an entry: takes jobs of callers, and owns all jobs when it is its turn. */
final class EntryRole implements Lifecycle, FleetLinkListener, DurableJobService.Listener {
    private static final EventLog LOG = EventLog.of(EntryRole.class);

    /** Time limit of a call to the store, in milliseconds: above its answers on slow days. */
    private static final int STORE_TIMEOUT_MS = 600;

    /** How long the store may hold a read of the configuration, in milliseconds. */
    private static final int CONFIGURATION_WAIT_MS = 1_000;

    /** How long the store may hold a read of the jobs, in milliseconds. */
    private static final int JOBS_WAIT_MS = 1_000;

    /** Pause between two reads of the jobs; peers tell the news earlier, in milliseconds. */
    private static final long JOBS_PAUSE_MS = 500;

    /** Time between two heartbeats to peers, in milliseconds. */
    private static final long HEARTBEAT_MS = 200;

    /** Time between two readings of the list of entries, in milliseconds. */
    private static final long ENTRIES_INTERVAL_MS = 5_000;

    /** Time between two checks whether all decisions are durable, in milliseconds. */
    private static final long SETTLE_CHECK_MS = 20;

    /** Longest time that a drain waits for work in progress, in milliseconds. */
    private static final long DRAIN_LIMIT_MS = 5_000;

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
    private final TopicConsumer mConfigurationFollower;
    private final TopicConsumer mJobsFollower;
    private final DurableJobService mIntake;
    private final OwnerElection mElection;
    private final NettyHttpServer mCallerServer;
    private final NettyHttpServer mReadinessServer;
    private final NettyHttpServer mAdminServer;
    private final ProcessMetrics mMetrics;
    private final Map<ProcessId, EntryHeartbeat> mPeers = new HashMap<>();
    private Optional<OwnerRole> mOwner = Optional.empty();
    private boolean mClaiming;
    private boolean mDraining;
    private long mEntriesReadAtMs = Long.MIN_VALUE / 2;

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
        HttpRecordStore direct =
                new HttpRecordStore(
                        new NettyHttpClient(eventLoops), settings.storeAddress(), STORE_TIMEOUT_MS);
        mStore = new RelayingRecordStore(direct, mLinks::send, this::relay, scheduler);
        mEntryListReader = new EntryListReader(mStore, mLinks, mCodec);
        mConfiguration = new WorkloadConfigurationCache(this::onConfiguration);
        mConfigurationFollower =
                new TopicConsumer(
                        mStore,
                        WorkloadConfigurationReader.TOPIC,
                        this::onOperatorRecord,
                        scheduler,
                        CONFIGURATION_WAIT_MS,
                        0);
        mJobsFollower =
                new TopicConsumer(
                        mStore,
                        JobLogCodec.JOBS_TOPIC,
                        this::onJobRecord,
                        scheduler,
                        JOBS_WAIT_MS,
                        JOBS_PAUSE_MS);
        mIntake =
                new DurableJobService(
                        mStore,
                        mJobsFollower,
                        mDirectory,
                        mCodec,
                        mConfiguration::configuration,
                        this,
                        scheduler);
        mElection = new OwnerElection(self.process(), self.capacityMilli(), nowMs());
        mCallerServer = new NettyHttpServer(eventLoops);
        mReadinessServer = new NettyHttpServer(eventLoops);
    }

    @Override
    public void start() throws InterruptedException {
        mAdminServer.listen(mSettings.adminAddress(), mMetrics::serve);
        mLinks.start(mSettings.seeds());
        mConfigurationFollower.start();
        mJobsFollower.start();
        announce();
        JobRequestHandler calls = new JobRequestHandler(mIntake, System::currentTimeMillis);
        mCallerServer.listen(
                mSettings.callerAddress().orElseThrow(), request -> timed(calls, request));
        mReadinessServer.listen(mSettings.readinessAddress().orElseThrow(), request -> readiness());
        tick();
    }

    private Single<HttpResponse> timed(JobRequestHandler calls, HttpRequest request) {
        long startNanos = System.nanoTime();
        return calls.handle(request)
                .doOnSuccess(
                        response -> mMetrics.recordResponseTime(System.nanoTime() - startNanos));
    }

    private Single<HttpResponse> readiness() {
        return Single.just(HttpResponse.of(isReady() ? 200 : 503, new byte[] {'{', '}'}));
    }

    private synchronized boolean isReady() {
        return !mDraining && mConfiguration.configuration().isPresent() && mJobsFollower.isLoaded();
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
        heartbeat();
        if (nowMs() - mEntriesReadAtMs > ENTRIES_INTERVAL_MS) {
            mEntriesReadAtMs = nowMs();
            mEntryListReader.read();
        }
        claimIfNeeded();
        mScheduler.scheduleDirect(this::tick, HEARTBEAT_MS, TimeUnit.MILLISECONDS);
    }

    private void heartbeat() {
        mLinks.broadcast(
                new EntryHeartbeat(
                        mElection.owner(),
                        mElection.epoch(),
                        mElection.ownerHeartbeatAgeMs(nowMs()),
                        mConfiguration.version(),
                        mStore.isDirectlyReachable() && !isDraining()),
                ProcessRole.ENTRY);
    }

    private Optional<ProcessId> relay() {
        synchronized (mPeers) {
            return mPeers.entrySet().stream()
                    .filter(peer -> peer.getValue().storeReachable())
                    .map(Map.Entry::getKey)
                    .findFirst();
        }
    }

    // ---- ownership

    private synchronized void claimIfNeeded() {
        if (mClaiming || mDraining || mOwner.isPresent() || !mJobsFollower.isLoaded()) {
            return;
        }
        if (!mElection.shouldClaimOwnership(nowMs())) {
            return;
        }
        mClaiming = true;
        LOG.event("owner_claiming")
                .with("former", mElection.owner())
                .with("epoch", mElection.epoch())
                .with("heard_ms", mElection.ownerHeartbeatAgeMs(nowMs()))
                .info();
        claim(EpochGenerator.next(newest(mElection.epoch(), mDirectory.epoch()), mSelf));
    }

    private static Epoch newest(Epoch left, Epoch right) {
        return left.compareTo(right) > 0 ? left : right;
    }

    // The producer epoch makes this entry the only writer of progress; every earlier record lies
    // before the claim in the log.
    private void claim(Epoch epoch) {
        StoreAppendRequest terms =
                new StoreAppendRequest(
                        JobLogCodec.JOBS_TOPIC,
                        0,
                        Optional.empty(),
                        Optional.of(new Producer(OwnerRole.PRODUCER, epoch.value(), 0)));
        StoreRecord record = mCodec.encode(new JobRecord.Claimed(mSelf, epoch));
        SingleCallbacks.subscribe(
                mStore.append(terms, List.of(record)),
                outcome -> onClaimOutcome(epoch, outcome),
                error -> claimEnded("failed", error));
    }

    // The log tells who owns the jobs, also when the answer to the claim was lost.
    private void onClaimOutcome(Epoch epoch, AppendOutcome outcome) {
        SingleCallbacks.subscribe(
                mJobsFollower.catchUp(),
                endOffset -> {
                    boolean own =
                            mDirectory.epoch().equals(epoch)
                                    && mDirectory.owner().equals(Optional.of(mSelf));
                    if (own) {
                        becomeOwner(epoch);
                    } else {
                        claimEnded("lost", outcome);
                    }
                },
                error -> claimEnded("unsettled", error));
    }

    private synchronized void claimEnded(String result, Object detail) {
        mClaiming = false;
        LOG.event("owner_claim_ended").with("result", result).with("detail", detail).info();
    }

    private synchronized void becomeOwner(Epoch epoch) {
        mClaiming = false;
        if (mDraining || epoch.compareTo(mElection.epoch()) < 0) {
            return;
        }
        mElection.onOwnershipClaimed(mSelf.process(), epoch, nowMs());
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
                        this::onFenced);
        mOwner = Optional.of(owner);
        heartbeat();
        owner.start(mConfiguration.configuration());
    }

    private synchronized void onFenced() {
        mOwner.ifPresent(OwnerRole::stop);
        mOwner = Optional.empty();
    }

    private synchronized void endIfSucceeded() {
        if (mOwner.isPresent() && !mElection.isOwner()) {
            LOG.event("owner_succeeded").with("epoch", mElection.epoch()).info();
            onFenced();
        }
    }

    private synchronized Optional<OwnerRole> ownerRole() {
        return mOwner;
    }

    // ---- records

    private void onOperatorRecord(StoreRecord record) {
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
            mElection.onOwnershipClaimed(claimed.owner().process(), claimed.epoch(), nowMs());
            endIfSucceeded();
        } else if (record.get() instanceof JobRecord.Submitted submitted) {
            ownerRole()
                    .ifPresent(owner -> owner.dispatcher().onJobSubmitted(submitted.submission()));
        } else if (record.get() instanceof JobRecord.Cancelled cancelled) {
            ownerRole().ifPresent(owner -> owner.dispatcher().onJobCancelled(cancelled.job()));
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
            heartbeat();
        }
    }

    @Override
    public void onDisconnected(FleetNode peer) {
        if (peer.role() == ProcessRole.AGENT) {
            ownerRole().ifPresent(owner -> owner.dispatcher().onAgentDisconnected(peer.process()));
            return;
        }
        mElection.onPeerDisconnected(peer.process());
        synchronized (mPeers) {
            mPeers.remove(peer.process());
        }
    }

    @Override
    public void onMessage(FleetNode peer, Message message) {
        if (message instanceof WorkerReport report) {
            ownerRole()
                    .ifPresent(owner -> owner.dispatcher().onWorkerReport(peer.process(), report));
        } else if (message instanceof RunRejected rejected) {
            ownerRole()
                    .ifPresent(owner -> owner.dispatcher().onRunRejected(peer.process(), rejected));
        } else if (message instanceof EntryHeartbeat heartbeat) {
            onHeartbeat(peer.process(), heartbeat);
        } else if (message instanceof JobAccepted accepted) {
            mDirectory.onJobSubmitted(accepted.submission());
            ownerRole()
                    .ifPresent(owner -> owner.dispatcher().onJobSubmitted(accepted.submission()));
        } else if (message instanceof JobCancelled cancelled) {
            mDirectory.onJobCancelled(cancelled.job());
            ownerRole().ifPresent(owner -> owner.dispatcher().onJobCancelled(cancelled.job()));
        } else if (message instanceof JobStates states) {
            states.jobs().forEach(mDirectory::onStatus);
        } else if (message instanceof RelayedStoreRequest call) {
            mStore.onRelayedRequest(peer.process(), call);
        } else if (message instanceof RelayedStoreResponse answer) {
            mStore.onAnswer(answer);
        } else if (message instanceof ConfigurationCopy copy) {
            mConfiguration.updateIfNewer(copy.content(), "peer");
        } else if (message instanceof OwnershipOffer offer) {
            mElection.onOwnershipOffered(offer.epoch(), nowMs());
            claimIfNeeded();
        }
    }

    private void onHeartbeat(ProcessId peer, EntryHeartbeat heartbeat) {
        Optional<EntryHeartbeat> before;
        synchronized (mPeers) {
            before = Optional.ofNullable(mPeers.put(peer, heartbeat));
        }
        mElection.onPeerHeartbeat(peer, heartbeat, nowMs());
        endIfSucceeded();
        boolean stillBehind =
                before.isPresent()
                        && before.get().configurationVersion() == heartbeat.configurationVersion()
                        && heartbeat.configurationVersion() < mConfiguration.version();
        if (stillBehind) {
            mLinks.send(peer, new ConfigurationCopy(mConfiguration.content()));
        }
    }

    // ---- shutdown

    @Override
    public void drain() {
        synchronized (this) {
            mDraining = true;
        }
        LOG.event("drain_started").with("owner", ownerRole().isPresent()).info();
        mCallerServer.disableKeepAlive();
        ownerRole().ifPresent(this::handOver);
    }

    // Dispatching goes on until a successor is at hand.
    private void handOver(OwnerRole owner) {
        Optional<FleetNode> successor =
                mLinks.connectedPeers(ProcessRole.ENTRY).stream()
                        .filter(peer -> isReachableByStore(peer.process()))
                        .max(Comparator.comparingLong(FleetNode::capacityMilli));
        if (successor.isEmpty()) {
            mScheduler.scheduleDirect(() -> handOver(owner), HEARTBEAT_MS, TimeUnit.MILLISECONDS);
            return;
        }
        owner.dispatcher().stopPlacement();
        offer(owner, successor.get());
    }

    private void offer(OwnerRole owner, FleetNode successor) {
        if (!owner.dispatcher().isDurable()) {
            mScheduler.scheduleDirect(
                    () -> offer(owner, successor), SETTLE_CHECK_MS, TimeUnit.MILLISECONDS);
            return;
        }
        LOG.event("owner_handing_over").with("successor", successor.process()).info();
        mLinks.send(successor.process(), new OwnershipOffer(owner.epoch()));
    }

    private boolean isReachableByStore(ProcessId peer) {
        synchronized (mPeers) {
            return mPeers.containsKey(peer) && mPeers.get(peer).storeReachable();
        }
    }

    @Override
    public synchronized boolean isDraining() {
        return mDraining;
    }

    @Override
    public boolean isIdle() {
        return mCallerServer.requestsInProgress() == 0 && mIntake.isIdle() && ownerRole().isEmpty();
    }

    @Override
    public Duration drainTimeout() {
        return Duration.ofMillis(DRAIN_LIMIT_MS);
    }

    @Override
    public void close() {
        ownerRole().ifPresent(OwnerRole::stop);
        // Ends the event loops, which all servers and clients of the role share.
        mTransport.close();
    }

    private long nowMs() {
        return mScheduler.now(TimeUnit.MILLISECONDS);
    }
}
