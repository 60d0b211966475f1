package org.hickorycleat.daemon.fleet;

import io.netty.channel.EventLoopGroup;
import io.reactivex.rxjava3.core.Scheduler;
import io.reactivex.rxjava3.core.Single;
import java.io.IOException;
import java.time.Duration;
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
import org.hickorycleat.logic.admission.JobAdmission;
import org.hickorycleat.logic.configuration.ConfigurationFetcher;
import org.hickorycleat.logic.directory.IncarnationHistory;
import org.hickorycleat.logic.directory.JobDirectory;
import org.hickorycleat.logic.directory.JobRecord;
import org.hickorycleat.logic.directory.PastJobRemover;
import org.hickorycleat.logic.dispatch.DispatchSettings;
import org.hickorycleat.logic.dispatch.Dispatcher;
import org.hickorycleat.logic.evacuation.EvacuatedZones;
import org.hickorycleat.logic.port.HttpRequest;
import org.hickorycleat.logic.port.HttpResponse;
import org.hickorycleat.model.identifier.Epoch;
import org.hickorycleat.model.identifier.ProcessId;
import org.hickorycleat.model.job.JobId;
import org.hickorycleat.model.job.JobProgress;
import org.hickorycleat.model.job.JobQueue;
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
import org.hickorycleat.model.message.QueueBacklogs;
import org.hickorycleat.model.message.RelayedStoreRequest;
import org.hickorycleat.model.message.RelayedStoreResponse;
import org.hickorycleat.model.message.RunRejected;
import org.hickorycleat.model.message.WorkerReport;
import org.hickorycleat.model.node.NodeSettings;
import org.hickorycleat.model.store.StoreRecord;
import org.hickorycleat.platform.EvacuationRecordReader;
import org.hickorycleat.platform.HttpRecordStore;
import org.hickorycleat.platform.JobRequestHandler;
import org.hickorycleat.platform.WorkloadConfigurationReader;

/** Runs an entry: accepts jobs from callers, and schedules all jobs while it is the owner. */
final class EntryRole
        implements Lifecycle,
                FleetLinkListener,
                DurableJobService.Listener,
                TopicConsumer.LoadListener {
    private static final EventLog LOG = EventLog.of(EntryRole.class);

    /** Timeout of a store request, in milliseconds; above the response time of a slow store. */
    private static final int STORE_TIMEOUT_MS = 600;

    /**
     * Time without a response after which a store request is repeated on a new connection, in
     * milliseconds; above the response time of a slow store.
     */
    private static final int STORE_REPEAT_MS = 300;

    /** Maximum wait of a long poll for the configuration, in milliseconds. */
    private static final int CONFIGURATION_LONG_POLL_MS = 1_000;

    /** Maximum wait of a long poll for job records, in milliseconds. */
    private static final int JOBS_LONG_POLL_MS = 1_000;

    /** Delay between two reads of job records, in milliseconds; peers broadcast changes sooner. */
    private static final long JOBS_POLL_DELAY_MS = 500;

    /** Interval between two heartbeats to peers, in milliseconds. */
    private static final long HEARTBEAT_INTERVAL_MS = 200;

    /**
     * Time without a message from an entry after which another link to it is opened, in
     * milliseconds; five intervals of heartbeats.
     */
    private static final long SILENT_ENTRY_MS = 5 * HEARTBEAT_INTERVAL_MS;

    /** Maximum time that a drain waits for work in progress, in milliseconds. */
    private static final long DRAIN_TIMEOUT_MS = 5_000;

    private final NodeSettings mSettings;
    private final FleetNode mSelf;
    private final Scheduler mScheduler;
    private final MessageTransport mTransport;
    private final FleetLinks mLinks;
    private final RelayingRecordStore mStore;
    private final EntryList mEntryList;
    private final JobLogCodec mCodec = new JobLogCodec();
    private final JobDirectory mDirectory;
    private final IncarnationHistory mIncarnationHistory = new IncarnationHistory();
    private final JobAdmission mJobAdmission = new JobAdmission();
    private final EvacuatedZones mEvacuatedZones = new EvacuatedZones();
    private final WorkloadConfigurationCache mConfiguration;
    private final ConfigurationFetcher mConfigurationFetcher;
    private final ConfigurationCopySender mConfigurationCopySender;
    private final TopicConsumer mConfigurationConsumer;
    private final TopicConsumer mJobsConsumer;
    private final DurableJobService mJobService;
    private final JobOwnership mOwnership;
    private final NettyHttpServer mCallerServer;
    private final NettyHttpServer mReadinessServer;
    private final NettyHttpServer mAdminServer;
    private final ProcessMetrics mMetrics;
    private final Map<ProcessId, EntryHeartbeat> mPeerHeartbeats = new HashMap<>();
    private boolean mDraining;

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
        mDirectory = new JobDirectory(this::nowMs);
        mTransport = transport;
        mLinks = new FleetLinks(transport, self, this, scheduler);
        HttpRecordStore directStore =
                new HttpRecordStore(
                        new NettyHttpClient(eventLoops, metrics.decisionLog(NettyHttpClient.class)),
                        settings.storeAddress(),
                        STORE_TIMEOUT_MS,
                        STORE_REPEAT_MS);
        RelaySelector relays =
                new RelaySelector(self.process(), this::peersReachingStore, scheduler);
        mStore = new RelayingRecordStore(directStore, mLinks::send, relays, scheduler);
        mEntryList =
                new EntryList(
                        self,
                        mStore,
                        new EntryListReader(mStore, mLinks, mCodec),
                        mCodec,
                        scheduler);
        mConfiguration = new WorkloadConfigurationCache(this::onConfiguration);
        mConfigurationFetcher = new ConfigurationFetcher(self.process());
        mConfigurationCopySender =
                new ConfigurationCopySender(mConfiguration, mLinks::send, metrics);
        mConfigurationConsumer =
                new TopicConsumer(
                        mStore,
                        WorkloadConfigurationReader.TOPIC,
                        this::onOperatorRecord,
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
                        this::rejectUntilMs,
                        this,
                        scheduler,
                        settings.maximumRecordBytes());
        mOwnership =
                new JobOwnership(
                        self,
                        mLinks,
                        mStore,
                        mJobsConsumer,
                        mDirectory,
                        mCodec,
                        scheduler,
                        this::peersReachingStore,
                        this::createOwnerRole,
                        this::onOwnershipStarted);
        mCallerServer = new NettyHttpServer(eventLoops);
        mReadinessServer = new NettyHttpServer(eventLoops);
    }

    @Override
    public void start() throws InterruptedException {
        mMetrics.registerResponseTimes();
        mAdminServer.listen(mSettings.adminAddress(), mMetrics::serve);
        mLinks.start(mSettings.seeds());
        mMetrics.registerGauge("hickorycleat.evacuation.runs", this::evacuatedRuns);
        mConfigurationConsumer.start(this);
        mJobsConsumer.start(reloadListener(mDirectory));
        mEntryList.start();
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

    private void tick() {
        GuardedTask.run("election", mOwnership::tickElection);
        GuardedTask.run("heartbeat", this::sendHeartbeat);
        GuardedTask.run(
                "reopen_links", () -> mLinks.reopenSilentLinks(ProcessRole.ENTRY, SILENT_ENTRY_MS));
        GuardedTask.run("read_entries", mEntryList::readIfDue);
        GuardedTask.run("end_final_jobs", this::endFinalJobs);
        GuardedTask.run("check_ownership", mOwnership::check);
        mScheduler.scheduleDirect(this::tick, HEARTBEAT_INTERVAL_MS, TimeUnit.MILLISECONDS);
    }

    private void endFinalJobs() {
        if (mJobsConsumer.isLoaded()) {
            mDirectory.endFinalJobs();
        }
    }

    private void sendHeartbeat() {
        List<ProcessId> peers =
                mLinks.connectedPeers(ProcessRole.ENTRY).stream().map(FleetNode::process).toList();
        EntryHeartbeat heartbeat =
                new EntryHeartbeat(
                        mOwnership.owner(),
                        mOwnership.epoch(),
                        mOwnership.ownerHeartbeatAgeMs(),
                        mConfiguration.version(),
                        canBecomeOwner(),
                        mOwnership.ownerHeartbeatNumber(peers));
        peers.forEach(peer -> mLinks.send(peer, heartbeat));
    }

    private boolean canBecomeOwner() {
        return mStore.isDirectlyReachable() && mJobsConsumer.isLoaded() && !isDraining();
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

    private Optional<Long> rejectUntilMs(JobQueue queue, JobSubmission submission) {
        return mJobAdmission.rejectUntilMs(queue, submission, mLinks.entries().size(), nowMs());
    }

    // ---- ownership

    private OwnerRole createOwnerRole(Epoch epoch, int previousOwnerLeaseMs) {
        return new OwnerRole(
                mSelf,
                epoch,
                mStore,
                mLinks,
                mDirectory,
                mIncarnationHistory,
                mCodec,
                mScheduler,
                DispatchSettings.of(mSettings.maximumLeaseMs(), previousOwnerLeaseMs)
                        .withFarRunFactor(mSettings.farRunFactor()),
                mSettings.maximumRecordBytes(),
                new PastJobRemover(mDirectory, mSettings.statusRetentionMs()),
                mMetrics.decisionLog(Dispatcher.class),
                backlogs -> mJobAdmission.onBacklogs(backlogs, nowMs()),
                mOwnership::stopOwner);
    }

    private void onOwnershipStarted(OwnerRole owner) {
        sendHeartbeat();
        owner.start(activeConfiguration(), mEvacuatedZones::zones);
    }

    private Optional<OwnerRole> ownerRole() {
        return mOwnership.ownerRole();
    }

    // ---- records

    private void onOperatorRecord(StoreRecord record) {
        if (record.key().equals(WorkloadConfigurationReader.KEY)) {
            mConfiguration.updateIfNewer(record.value(), "store");
        }
        EvacuationRecordReader.zone(record.key())
                .filter(
                        zone ->
                                mEvacuatedZones.onRecord(
                                        zone, record.offset(), record.value().length > 0))
                .ifPresent(zone -> onEvacuationsChanged());
    }

    @Override
    public void onLoadStarted() {
        mEvacuatedZones.onListStarted();
    }

    @Override
    public void onLoadEnded(long startOffset) {
        if (mEvacuatedZones.onListEnded(startOffset)) {
            onEvacuationsChanged();
        }
        activeConfiguration().ifPresent(this::onConfiguration);
    }

    private void onEvacuationsChanged() {
        LOG.event("evacuations_changed").with("zones", mEvacuatedZones.zones()).info();
        ownerRole()
                .ifPresent(
                        owner -> owner.dispatcher().onEvacuationsChanged(mEvacuatedZones::zones));
    }

    private int evacuatedRuns() {
        return ownerRole().map(owner -> owner.dispatcher().evacuatedRuns()).orElse(0);
    }

    private void onConfiguration(WorkloadConfiguration configuration) {
        if (mConfigurationConsumer.isLoaded()) {
            ownerRole()
                    .ifPresent(owner -> owner.dispatcher().onConfigurationChanged(configuration));
        }
    }

    // A configuration may come from a peer before it is known which zones are evacuated. An owner
    // without configuration starts nothing.
    private Optional<WorkloadConfiguration> activeConfiguration() {
        return mConfigurationConsumer.isLoaded()
                ? mConfiguration.configuration()
                : Optional.empty();
    }

    private static TopicConsumer.LoadListener reloadListener(JobDirectory directory) {
        return new TopicConsumer.LoadListener() {
            @Override
            public void onLoadStarted() {
                directory.onReloadStarted();
            }

            @Override
            public void onLoadEnded(long startOffset) {
                directory.onReloaded();
            }
        };
    }

    private void onJobRecord(StoreRecord stored) {
        Optional<JobRecord> record = mCodec.decode(stored);
        if (record.isEmpty()) {
            return;
        }
        mDirectory.apply(record.get());
        if (record.get() instanceof JobRecord.Claimed claimed) {
            mOwnership.onClaimRead(claimed);
        } else if (record.get() instanceof JobRecord.Progressed progressed) {
            onProgressRead(progressed.progress());
        } else if (record.get() instanceof JobRecord.ProgressedPart part) {
            onProgressRead(part.progress());
        } else if (record.get() instanceof JobRecord.QueueAccepting accepting) {
            ownerRole().ifPresent(owner -> owner.dispatcher().onQueueAccepting(accepting.queue()));
        } else if (record.get() instanceof JobRecord.Submitted submitted) {
            ownerRole()
                    .ifPresent(owner -> owner.dispatcher().onJobSubmitted(submitted.submission()));
        } else if (record.get() instanceof JobRecord.Cancelled cancelled) {
            ownerRole().ifPresent(owner -> owner.dispatcher().onJobCancelled(cancelled.job()));
        }
    }

    private void onProgressRead(JobProgress progress) {
        mIncarnationHistory.onProgress(progress, nowMs());
        if (progress.state().isFinal() || mDirectory.isPast(progress.id())) {
            mIncarnationHistory.removeJob(progress.id());
        }
        mOwnership.onProgressRead();
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
        mOwnership.onPeerDisconnected(peer.process());
        mConfigurationFetcher.onPeerDisconnected(peer.process());
        synchronized (mPeerHeartbeats) {
            mPeerHeartbeats.remove(peer.process());
        }
    }

    @Override
    public void onEntryGone(FleetNode entry) {
        mEntryList.remove(entry);
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
        } else if (message instanceof QueueBacklogs backlogs) {
            mJobAdmission.onBacklogs(backlogs, nowMs());
        } else if (message instanceof RelayedStoreRequest request) {
            mStore.onRelayedRequest(peer.process(), request);
        } else if (message instanceof RelayedStoreResponse response) {
            mStore.onRelayedResponse(response);
        } else if (message instanceof ConfigurationCopy copy) {
            onConfigurationCopy(peer.process(), copy);
        } else if (message instanceof ConfigurationRequest request) {
            mConfigurationCopySender.onRequest(peer.process(), request);
        } else if (message instanceof OwnershipOffer offer) {
            mOwnership.onOffered(offer);
        }
    }

    private void onPeerHeartbeat(FleetNode peer, EntryHeartbeat heartbeat) {
        synchronized (mPeerHeartbeats) {
            mPeerHeartbeats.put(peer.process(), heartbeat);
        }
        mOwnership.onPeerHeartbeat(peer.process(), heartbeat);
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
        }
        LOG.event("drain_started").with("owner", ownerRole().isPresent()).info();
        mCallerServer.disableKeepAlive();
        mOwnership.drain();
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
