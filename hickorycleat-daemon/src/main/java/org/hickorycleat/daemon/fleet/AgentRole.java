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

/** Role of an agent: carries out the orders of the owner on the worker of its machine. */
final class AgentRole implements Lifecycle, FleetLinkListener {
    private static final EventLog LOG = EventLog.of(AgentRole.class);

    /** Time after which an order to the worker counts as unanswered, in milliseconds. */
    private static final int ORDER_TIMEOUT_MS = 250;

    /** An owner that does not answer reports for this long is dialled anew, in milliseconds. */
    private static final long OWNER_SILENCE_MS = 1_500;

    /** Time between two checks of the owner, in milliseconds. */
    private static final long CHECK_MS = 250;

    /** Without a link for this long the store is asked for entries, in milliseconds. */
    private static final long LOST_MS = 1_000;

    private static final int STORE_TIMEOUT_MS = 1_000;

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
    private long mOwnerHeardAtMs;
    private long mLinkedAtMs;
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
        NettyHttpClient caller = new NettyHttpClient(eventLoops);
        mEntryListReader =
                new EntryListReader(
                        new HttpRecordStore(caller, settings.storeAddress(), STORE_TIMEOUT_MS),
                        mLinks,
                        new JobLogCodec());
        mWorkerServer = new NettyHttpServer(eventLoops);
        mSupervisor =
                new RunSupervisor(
                        new HttpWorkerRuntime(
                                caller,
                                settings.workerControlAddress().orElseThrow(),
                                ORDER_TIMEOUT_MS),
                        this::toOwner,
                        scheduler,
                        SupervisorSettings.of(settings.maximumLeaseMs()),
                        // Grows with every agent of the machine, which keeps nothing itself.
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
        mLinkedAtMs = nowMs();
        check();
    }

    private void toOwner(Message message) {
        Optional<ProcessId> owner;
        synchronized (this) {
            owner = mOwner;
        }
        owner.ifPresent(process -> mLinks.send(process, message));
    }

    private void check() {
        Optional<ProcessId> silent = Optional.empty();
        boolean lost;
        synchronized (this) {
            boolean isSilent = nowMs() - mOwnerHeardAtMs > OWNER_SILENCE_MS;
            if (mOwner.isPresent() && isSilent) {
                silent = mOwner;
                mOwnerHeardAtMs = nowMs();
            }
            boolean linked = !mLinks.connectedPeers(ProcessRole.ENTRY).isEmpty();
            if (linked) {
                mLinkedAtMs = nowMs();
            }
            lost = nowMs() - mLinkedAtMs > LOST_MS;
            if (lost) {
                mLinkedAtMs = nowMs();
            }
        }
        silent.ifPresent(this::redial);
        if (lost) {
            mEntryListReader.read();
        }
        mScheduler.scheduleDirect(this::check, CHECK_MS, TimeUnit.MILLISECONDS);
    }

    private void redial(ProcessId owner) {
        LOG.event("owner_silent").with("owner", owner).info();
        mLinks.closeLinksTo(owner);
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
            onAnnouncement(announcement);
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

    private void onAnnouncement(OwnerAnnouncement announcement) {
        synchronized (this) {
            if (announcement.epoch().compareTo(mEpoch) < 0) {
                return;
            }
            mEpoch = announcement.epoch();
            mOwner = Optional.of(announcement.owner());
            mOwnerHeardAtMs = nowMs();
        }
        mSupervisor.onOwnerSession(announcement.epoch(), announcement.session());
    }

    private synchronized boolean isFromOwner(FleetNode peer) {
        boolean fromOwner = mOwner.equals(Optional.of(peer.process()));
        if (fromOwner) {
            mOwnerHeardAtMs = nowMs();
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
        // Ends the event loops, which all servers and clients of the role share.
        mTransport.close();
    }

    private long nowMs() {
        return mScheduler.now(TimeUnit.MILLISECONDS);
    }
}
