package org.hickorycleat.daemon.fleet;

import io.netty.channel.EventLoopGroup;
import io.reactivex.rxjava3.core.Scheduler;
import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.hickorycleat.daemon.Lifecycle;
import org.hickorycleat.daemon.exchange.NettyHttpClient;
import org.hickorycleat.daemon.exchange.NettyHttpServer;
import org.hickorycleat.daemon.logging.EventLog;
import org.hickorycleat.daemon.transport.MessageTransport;
import org.hickorycleat.logic.supervision.RunSupervisor;
import org.hickorycleat.logic.supervision.SupervisorSettings;
import org.hickorycleat.model.identifier.Epoch;
import org.hickorycleat.model.identifier.ProcessId;
import org.hickorycleat.model.message.FleetNode;
import org.hickorycleat.model.message.InterferenceWeights;
import org.hickorycleat.model.message.LeaseExtension;
import org.hickorycleat.model.message.Message;
import org.hickorycleat.model.message.OwnerAnnouncement;
import org.hickorycleat.model.message.ProcessRole;
import org.hickorycleat.model.message.RunTraits;
import org.hickorycleat.model.message.StartRun;
import org.hickorycleat.model.message.StopRun;
import org.hickorycleat.model.node.NodeSettings;
import org.hickorycleat.platform.HttpRecordStore;
import org.hickorycleat.platform.HttpWorkerRuntime;
import org.hickorycleat.platform.WorkerHeartbeatHandler;

/** Runs an agent: executes the commands of the owner on the worker of its VM. */
final class AgentRole implements Lifecycle, FleetLinkListener {
    private static final EventLog LOG = EventLog.of(AgentRole.class);

    /** Timeout of a command to the worker, in milliseconds. */
    private static final int COMMAND_TIMEOUT_MS = 250;

    /**
     * Time without a message from the owner after which the agent opens another link to it, in
     * milliseconds.
     */
    private static final long OWNER_TIMEOUT_MS = 1_500;

    /**
     * Interval between two checks of the connections to the owner and to entries, in milliseconds.
     */
    private static final long CHECK_INTERVAL_MS = 500;

    /**
     * Time without a connected entry after which the store is read for entries, in milliseconds.
     */
    private static final long DISCONNECTED_TIMEOUT_MS = 1_000;

    private static final int STORE_TIMEOUT_MS = 1_000;

    /**
     * Time without a response after which a store request is repeated on a new connection, in
     * milliseconds.
     */
    private static final int STORE_REPEAT_MS = 300;

    private final NodeSettings mSettings;
    private final Scheduler mScheduler;
    private final MessageTransport mTransport;
    private final FleetLinks mLinks;
    private final EntryListReader mEntryListReader;
    private final NettyHttpServer mWorkerServer;
    private final NettyHttpServer mAdminServer;
    private final ProcessMetrics mMetrics;
    private final RunSupervisor mSupervisor;
    private Optional<ProcessId> mOwner = Optional.empty();
    private Epoch mEpoch = new Epoch(-1);
    private long mLastOwnerContactMs;
    private long mLastConnectedMs;
    private boolean mDraining;

    AgentRole(
            NodeSettings settings,
            FleetNode self,
            EventLoopGroup eventLoops,
            MessageTransport transport,
            Scheduler scheduler,
            ProcessMetrics metrics) {
        mMetrics = metrics;
        mAdminServer = new NettyHttpServer(eventLoops);
        mSettings = settings;
        mScheduler = scheduler;
        mTransport = transport;
        mLinks = new FleetLinks(transport, self, this, scheduler);
        NettyHttpClient httpClient =
                new NettyHttpClient(eventLoops, metrics.decisionLog(NettyHttpClient.class));
        mEntryListReader =
                new EntryListReader(
                        new HttpRecordStore(
                                httpClient,
                                settings.storeAddress(),
                                STORE_TIMEOUT_MS,
                                STORE_REPEAT_MS),
                        mLinks,
                        new JobLogCodec());
        mWorkerServer = new NettyHttpServer(eventLoops);
        mSupervisor =
                new RunSupervisor(
                        new HttpWorkerRuntime(
                                httpClient,
                                settings.workerControlAddress().orElseThrow(),
                                COMMAND_TIMEOUT_MS),
                        this::sendToOwner,
                        scheduler,
                        SupervisorSettings.of(
                                settings.maximumLeaseMs(), settings.maximumInterferenceMs()),
                        // Increases with every agent process on this VM; an agent stores no counter
                        // of its own.
                        self.startedAtMs(),
                        metrics.decisionLog(RunSupervisor.class));
    }

    @Override
    public void start() throws InterruptedException {
        mWorkerServer.listen(
                mSettings.workerHeartbeatAddress().orElseThrow(),
                new WorkerHeartbeatHandler(mSupervisor));
        mAdminServer.listen(mSettings.adminAddress(), mMetrics::serve);
        mLinks.start(mSettings.seeds());
        mSupervisor.start();
        mLastConnectedMs = nowMs();
        checkConnections();
    }

    private void sendToOwner(Message message) {
        Optional<ProcessId> owner;
        synchronized (this) {
            owner = mOwner;
        }
        owner.ifPresent(ownerProcess -> mLinks.send(ownerProcess, message));
    }

    private void checkConnections() {
        GuardedTask.run("check_connections", this::reconnectIfNeeded);
        mScheduler.scheduleDirect(this::checkConnections, CHECK_INTERVAL_MS, TimeUnit.MILLISECONDS);
    }

    private void reconnectIfNeeded() {
        Optional<ProcessId> owner;
        long ownerContactMs;
        boolean disconnected;
        synchronized (this) {
            owner = mOwner;
            ownerContactMs = mLastOwnerContactMs;
            boolean connected = !mLinks.connectedPeers(ProcessRole.ENTRY).isEmpty();
            if (connected) {
                mLastConnectedMs = nowMs();
            }
            disconnected = nowMs() - mLastConnectedMs > DISCONNECTED_TIMEOUT_MS;
            if (disconnected) {
                mLastConnectedMs = nowMs();
            }
        }
        owner.ifPresent(
                process -> mLinks.reopenIfSilent(process, ownerContactMs, OWNER_TIMEOUT_MS));
        if (disconnected) {
            mEntryListReader.read();
        }
    }

    @Override
    public void onConnected(FleetNode peer) {
        LOG.event("entry_connected").with("entry", peer.process()).info();
    }

    @Override
    public void onDisconnected(FleetNode peer) {
        LOG.event("entry_disconnected").with("entry", peer.process()).info();
    }

    @Override
    public void onMessage(FleetNode peer, Message message) {
        if (message instanceof OwnerAnnouncement announcement) {
            onOwnerAnnouncement(announcement);
            return;
        }
        if (!isFromOwner(peer)) {
            return;
        }
        if (message instanceof LeaseExtension extension) {
            mSupervisor.onLeaseExtension(extension);
        } else if (message instanceof StartRun start) {
            mSupervisor.onStartRun(start);
        } else if (message instanceof StopRun stop) {
            mSupervisor.onStopRun(stop);
        } else if (message instanceof RunTraits traits) {
            mSupervisor.onRunTraits(traits);
        } else if (message instanceof InterferenceWeights weights) {
            mSupervisor.onInterferenceWeights(weights);
        }
    }

    private void onOwnerAnnouncement(OwnerAnnouncement announcement) {
        synchronized (this) {
            if (announcement.epoch().compareTo(mEpoch) < 0) {
                return;
            }
            mEpoch = announcement.epoch();
            mOwner = Optional.of(announcement.owner());
            mLastOwnerContactMs = nowMs();
        }
        mSupervisor.onOwnerSession(announcement.epoch(), announcement.session());
    }

    private synchronized boolean isFromOwner(FleetNode peer) {
        boolean fromOwner = mOwner.equals(Optional.of(peer.process()));
        if (fromOwner) {
            mLastOwnerContactMs = nowMs();
        }
        return fromOwner;
    }

    @Override
    public synchronized void drain() {
        mDraining = true;
    }

    @Override
    public synchronized boolean isDraining() {
        return mDraining;
    }

    @Override
    public boolean isIdle() {
        return true;
    }

    @Override
    public Duration minimumDrainDuration() {
        return Duration.ZERO;
    }

    @Override
    public Duration drainTimeout() {
        return Duration.ofSeconds(1);
    }

    @Override
    public void close() {
        mSupervisor.stop();
        // Stops the event loops, which all servers and clients of this role share.
        mTransport.close();
    }

    private long nowMs() {
        return mScheduler.now(TimeUnit.MILLISECONDS);
    }
}
