package org.hickorycleat.daemon.entry;

import io.micrometer.core.instrument.Gauge;
import io.micrometer.prometheusmetrics.PrometheusConfig;
import io.micrometer.prometheusmetrics.PrometheusMeterRegistry;
import io.reactivex.rxjava3.core.Scheduler;
import io.reactivex.rxjava3.disposables.CompositeDisposable;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.hickorycleat.daemon.Lifecycle;
import org.hickorycleat.daemon.http.AdminHttpServer;
import org.hickorycleat.daemon.http.AdminOperations;
import org.hickorycleat.daemon.http.AdminTaskStatus;
import org.hickorycleat.daemon.http.ProcessStatus;
import org.hickorycleat.daemon.logging.EventLog;
import org.hickorycleat.daemon.logservice.HttpLogService;
import org.hickorycleat.daemon.logservice.LogServiceTimeouts;
import org.hickorycleat.daemon.settings.DaemonSettings;
import org.hickorycleat.daemon.settings.EntrySettings;
import org.hickorycleat.daemon.transport.MessageTransport;
import org.hickorycleat.daemon.transport.TransportMetrics;
import org.hickorycleat.logic.configuration.ActiveConfiguration;
import org.hickorycleat.logic.ownership.OwnerIdentity;
import org.hickorycleat.model.configuration.AcceptedConfiguration;
import org.hickorycleat.model.identifier.ConfigurationVersion;
import org.hickorycleat.model.identifier.Incarnation;
import org.hickorycleat.model.identifier.ServiceName;
import org.hickorycleat.model.identifier.TaskId;
import org.hickorycleat.model.manifest.ManifestSlices;
import org.hickorycleat.model.manifest.ManifestWriter;
import org.hickorycleat.model.message.AgentReport;
import org.hickorycleat.model.message.ConfigurationUpdate;
import org.hickorycleat.model.message.EntryAddress;
import org.hickorycleat.model.message.Hello;
import org.hickorycleat.model.message.Message;
import org.hickorycleat.model.message.PeerSummary;
import org.hickorycleat.model.message.Welcome;

/** A daemon process in the entry role. */
public final class EntryProcess implements InboundConnectionListener, AdminOperations, Lifecycle {
    private static final EventLog LOG = EventLog.of(EntryProcess.class);
    private static final int EVENT_LOOPS = 4;
    private static final long TICK_INTERVAL_MS = 1_000;
    private static final long CALLER_CHECK_INTERVAL_MS = 200;

    private final DaemonSettings mSettings;
    private final EntrySettings mEntrySettings;
    private final Incarnation mIncarnation;
    private final Scheduler mScheduler;
    private final PrometheusMeterRegistry mMeters =
            new PrometheusMeterRegistry(PrometheusConfig.DEFAULT);
    private final MessageTransport mTransport;
    private final InboundConnections mConnections;
    private final PeerEntries mPeers;
    private final EntryConfiguration mConfiguration;
    private final RequestPipeline mRequests;
    private final PlacementShards mShards;
    private final InstanceRegistrar mRegistrar;
    private final ConfigurationSliceTracker mSliceTracker = new ConfigurationSliceTracker();
    private final CallerHttpServer mCallerServer;
    private final AdminHttpServer mAdminServer;
    private final CompositeDisposable mTimers = new CompositeDisposable();
    private final long mStartedMs;
    private volatile boolean mDraining;

    /** Creates the process. */
    public EntryProcess(
            DaemonSettings settings,
            EntrySettings entrySettings,
            Incarnation incarnation,
            Scheduler scheduler) {
        mSettings = settings;
        mEntrySettings = entrySettings;
        mIncarnation = incarnation;
        mScheduler = scheduler;
        mStartedMs = scheduler.now(TimeUnit.MILLISECONDS);
        mTransport = new MessageTransport(EVENT_LOOPS, new TransportMetrics(mMeters));
        mConnections = new InboundConnections(this::newWelcome, this);
        mPeers = new PeerEntries(selfAddress(), incarnation, mTransport, scheduler);
        HttpLogService log =
                new HttpLogService(entrySettings.logService(), LogServiceTimeouts.DEFAULT);
        mConfiguration = new EntryConfiguration(settings.process(), incarnation, log, scheduler);
        mShards =
                new PlacementShards(
                        new OwnerIdentity(settings.process(), incarnation),
                        log,
                        mConnections,
                        scheduler);
        mRegistrar =
                new InstanceRegistrar(
                        log, mConnections, new Random(incarnation.value()), scheduler);
        mRequests =
                new RequestPipeline(
                        settings.process(), incarnation, settings.zone(), mConnections, scheduler);
        mCallerServer = new CallerHttpServer(mConfiguration::manifest, mRequests::serve, mMeters);
        mAdminServer = new AdminHttpServer(this, mMeters, configuration -> {});
        Gauge.builder("hickorycleat.configuration.version", mConfiguration::version)
                .register(mMeters);
        Gauge.builder("hickorycleat.requests.in.progress", mCallerServer::requestsInProgress)
                .register(mMeters);
    }

    @Override
    public void start() throws InterruptedException {
        mConfiguration.start(this::onConfigurationChanged);
        mRegistrar.start();
        mTransport.listen(mEntrySettings.peerListen(), mConnections::newListener);
        mPeers.add(mEntrySettings.peers());
        mTimers.add(
                mScheduler.schedulePeriodicallyDirect(
                        this::tick, TICK_INTERVAL_MS, TICK_INTERVAL_MS, TimeUnit.MILLISECONDS));
        mTimers.add(
                mScheduler.schedulePeriodicallyDirect(
                        mCallerServer::cancelDisconnectedRequests,
                        CALLER_CHECK_INTERVAL_MS,
                        CALLER_CHECK_INTERVAL_MS,
                        TimeUnit.MILLISECONDS));
        mCallerServer.start(mEntrySettings.callerListen());
        mAdminServer.start(mSettings.adminListen());
        LOG.event("started")
                .with("process", mSettings.process())
                .with("role", "entry")
                .with("zone", mSettings.zone())
                .with("incarnation", mIncarnation)
                .info();
    }

    @Override
    public void drain() {
        if (mDraining) {
            return;
        }
        mDraining = true;
        mCallerServer.drain();
        mShards.drain();
        LOG.event("draining").with("in_progress", mCallerServer.requestsInProgress()).info();
    }

    @Override
    public boolean isDraining() {
        return mDraining;
    }

    @Override
    public boolean isIdle() {
        return mCallerServer.requestsInProgress() == 0;
    }

    @Override
    public Duration drainTimeout() {
        return mSettings.drainLimit();
    }

    @Override
    public void close() {
        mTimers.dispose();
        mCallerServer.close();
        mConfiguration.close();
        mShards.close();
        mRegistrar.close();
        mPeers.close();
        mTransport.close();
        mAdminServer.close();
        LOG.event("stopped").with("process", mSettings.process()).info();
    }

    @Override
    public void onAgentOpened(Hello agent) {
        mRequests.onAgentOpened(agent);
    }

    @Override
    public void onAgentMessage(Hello agent, Message message) {
        if (mRequests.onAgentMessage(agent, message)) {
            return;
        }
        if (message instanceof AgentReport report) {
            sendSlice(agent, report);
            mRegistrar.onAgentReport(agent, report);
            mShards.onAgentReport(agent, report);
        } else if (message instanceof ConfigurationUpdate update) {
            mConfiguration.updateFromAgent(update);
        } else {
            mShards.onAgentMessage(agent, message);
        }
    }

    @Override
    public void onAgentClosed(Hello agent) {
        mRequests.onAgentClosed(agent);
        mShards.onAgentClosed(agent);
        mSliceTracker.remove(agent);
    }

    @Override
    public void onPeerOpened(Hello peer) {
        mPeers.recordHeartbeat(peer);
        mConfiguration.current().ifPresent(current -> mPeers.send(toUpdate(current)));
    }

    @Override
    public void onPeerMessage(Hello peer, Message message) {
        mPeers.recordHeartbeat(peer);
        if (message instanceof ConfigurationUpdate update) {
            mConfiguration.updateFromPeer(update);
        }
    }

    @Override
    public ProcessStatus status() {
        return new ProcessStatus(
                mSettings.process().value(),
                "entry",
                mSettings.zone().value(),
                mIncarnation.value(),
                mScheduler.now(TimeUnit.MILLISECONDS) - mStartedMs,
                state(),
                String.join("; ", notReadyReasons()),
                mConfiguration.status(),
                mConfiguration.logStatus(),
                mCallerServer.requestsInProgress(),
                mRequests.statuses(),
                mShards.statuses(),
                mConnections.links());
    }

    @Override
    public Object dump() {
        return new EntryDump(
                status(),
                mPeers.liveEntries(),
                mConnections.agents(),
                mRequests.state(),
                mShards.dump());
    }

    @Override
    public List<AdminTaskStatus> jobs() {
        return mShards.jobs();
    }

    @Override
    public Optional<AdminTaskStatus> explain(String task) {
        return mShards.explain(new TaskId(task)).map(AdminTaskStatusFactory::of);
    }

    @Override
    public List<String> notReadyReasons() {
        if (mDraining) {
            return List.of("draining");
        }
        return mConfiguration.current().isPresent()
                ? List.of()
                : List.of(mConfiguration.healthText());
    }

    private String state() {
        if (mDraining) {
            return "draining";
        }
        return notReadyReasons().isEmpty() ? "serving" : "waiting";
    }

    private void onConfigurationChanged(ActiveConfiguration current) {
        mRequests.configure(current.configuration().manifest());
        LOG.event("configuration_in_force")
                .with("version", current.version())
                .with("source", current.source().label())
                .info();
        mShards.configure(current.configuration());
        mPeers.send(toUpdate(current));
        mConnections.agents().forEach(agent -> sendSlice(agent, current));
    }

    private void sendSlice(Hello agent, AgentReport report) {
        Set<ServiceName> services = ConfigurationSliceTracker.hostedServices(report);
        mSliceTracker.setServices(agent, services);
        mConfiguration.current().ifPresent(current -> sendSlice(agent, current));
    }

    private void sendSlice(Hello agent, ActiveConfiguration current) {
        Optional<Set<ServiceName>> services =
                mSliceTracker.servicesToSend(agent, current.version());
        if (services.isEmpty()) {
            return;
        }
        AcceptedConfiguration configuration = current.configuration();
        byte[] slice =
                ManifestWriter.write(
                        ManifestSlices.slice(configuration.manifest(), services.get()));
        if (mConnections.send(agent.process(), new ConfigurationUpdate(current.version(), slice))) {
            mSliceTracker.recordSent(agent, current.version(), services.get());
        }
    }

    private void tick() {
        List<EntryAddress> live = mPeers.liveEntries();
        mRequests.setLiveEntries(live.size());
        mRequests.removeExpired();
        mConnections.sendWelcomes();
        mPeers.send(
                new PeerSummary(
                        mSettings.zone(),
                        new ConfigurationVersion(mConfiguration.version()),
                        mRequests.capacities()));
    }

    private Welcome newWelcome() {
        return new Welcome(
                mSettings.process(), mIncarnation, mSettings.zone(), mPeers.liveEntries());
    }

    private EntryAddress selfAddress() {
        return new EntryAddress(
                mSettings.process(),
                mSettings.zone(),
                mEntrySettings.peerListen().getHostString(),
                mEntrySettings.peerListen().getPort());
    }

    private static ConfigurationUpdate toUpdate(ActiveConfiguration current) {
        return new ConfigurationUpdate(current.version(), current.configuration().bytes());
    }
}
