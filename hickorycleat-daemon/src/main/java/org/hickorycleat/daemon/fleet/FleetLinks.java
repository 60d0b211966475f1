package org.hickorycleat.daemon.fleet;

import io.reactivex.rxjava3.core.Scheduler;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.hickorycleat.daemon.logging.EventLog;
import org.hickorycleat.daemon.transport.LinkTransport;
import org.hickorycleat.daemon.transport.MessageConnection;
import org.hickorycleat.daemon.transport.MessageListener;
import org.hickorycleat.logic.membership.EntryMembership;
import org.hickorycleat.model.identifier.ProcessId;
import org.hickorycleat.model.message.FleetEntries;
import org.hickorycleat.model.message.FleetHello;
import org.hickorycleat.model.message.FleetNode;
import org.hickorycleat.model.message.KnownEntry;
import org.hickorycleat.model.message.Message;
import org.hickorycleat.model.message.ProcessRole;

/**
 * Keeps a link from this process to every known entry.
 *
 * <p>Entries are discovered from seeds, from the store and from other entries. Each round compares
 * the addresses of the seeds and of all entries that belong to the fleet with the links, and
 * connects to those without one, whatever has become of earlier links. Two entries may have two
 * links between them. An agent has one link to each entry; its newest link replaces older ones.
 *
 * <p>A link may go silent for good without being closed. A new link is then opened beside it, and
 * messages are sent on the newest link, so that a peer is reached again long before the silent link
 * is closed.
 */
final class FleetLinks {
    private static final EventLog LOG = EventLog.of(FleetLinks.class);

    /** Minimum interval between two rounds of connection attempts, in milliseconds. */
    private static final long CONNECT_INTERVAL_MS = 150;

    /**
     * Maximum interval between two rounds, in milliseconds; applies while all addresses are
     * connected.
     */
    private static final long CONNECTED_INTERVAL_MS = 500;

    /**
     * Initial and maximum delay between two attempts to connect to one address, in milliseconds.
     */
    private static final long INITIAL_RETRY_DELAY_MS = 150;

    private static final long MAXIMUM_RETRY_DELAY_MS = 2_000;

    /**
     * Initial and maximum delay between two attempts to open a link beside those to a silent peer,
     * in milliseconds; it doubles until the peer is heard.
     */
    private static final long INITIAL_REOPEN_DELAY_MS = 1_000;

    private static final long MAXIMUM_REOPEN_DELAY_MS = 4_000;

    /** Maximum number of links to an entry; each of two entries may have opened one. */
    private static final int MAXIMUM_LINKS_TO_ENTRY = 2;

    /**
     * Interval at which an entry sends the entries with the ages of their contacts to all peers, in
     * milliseconds; well below the age at which an entry is gone.
     */
    private static final long ENTRIES_INTERVAL_MS = EntryMembership.EXPIRY_MS / 6;

    /**
     * Time without a message after which a keep-alive is sent, in milliseconds; well below the read
     * timeout of links.
     */
    private static final long KEEP_ALIVE_INTERVAL_MS = 2_000;

    /** Time without a message after which a link is logged as silent, in milliseconds. */
    private static final long SILENCE_LOG_MS = KEEP_ALIVE_INTERVAL_MS + 500;

    private final LinkTransport mTransport;
    private final FleetNode mSelf;
    private final InetSocketAddress mSelfAddress;
    private final FleetLinkListener mListener;
    private final Scheduler mScheduler;
    private final Set<InetSocketAddress> mSeeds = new LinkedHashSet<>();
    private final EntryMembership mMembership = new EntryMembership();
    private final Map<InetSocketAddress, DialState> mDials = new HashMap<>();
    // The newest link of a peer is the first one.
    private final Map<ProcessId, List<Link>> mLinks = new HashMap<>();
    private final Map<ProcessId, ReopenState> mReopenStates = new HashMap<>();
    private boolean mEntriesChanged;
    private long mEntriesSentAtMs;
    private long mRoundNumber;
    private long mNextRoundAtMs;

    /** State of the connection attempts to one address. */
    private static final class DialState {
        private long mNextAttemptMs;
        private long mRetryDelayMs = INITIAL_RETRY_DELAY_MS;
        // Whether a connection that this process has opened exists or is being opened.
        private boolean mInUse;
    }

    /** State of the attempts to open a link beside those to one silent peer. */
    private static final class ReopenState {
        private long mAttemptedAtMs;
        private long mDelayMs = INITIAL_REOPEN_DELAY_MS;
    }

    FleetLinks(
            LinkTransport transport,
            FleetNode self,
            FleetLinkListener listener,
            Scheduler scheduler) {
        mTransport = transport;
        mSelf = self;
        mSelfAddress = address(self);
        mListener = listener;
        mScheduler = scheduler;
    }

    /** Listens for links and starts to connect to the seeds. */
    void start(List<InetSocketAddress> seeds) throws InterruptedException {
        mTransport.listen(mSelfAddress, () -> new Link(Optional.empty()));
        synchronized (this) {
            mSeeds.addAll(seeds);
            mEntriesSentAtMs = nowMs();
        }
        connectToDueAddresses();
    }

    /**
     * Adds entries that are or were in the list of the store, and updates those that have restarted
     * since; peers get the new list with the next round of connection attempts.
     */
    synchronized void addEntries(Collection<FleetNode> entries) {
        entries.stream()
                .filter(this::isOtherEntry)
                .filter(entry -> mMembership.addUnconfirmed(entry, nowMs()))
                .forEach(this::onEntryLearnt);
    }

    /** Adds entries that a peer knows, and updates the ages of their last contacts. */
    private synchronized void addKnownEntries(Collection<KnownEntry> entries) {
        entries.stream()
                .filter(known -> isOtherEntry(known.node()))
                .filter(known -> mMembership.add(known.node(), known.contactAgeMs(), nowMs()))
                .map(KnownEntry::node)
                .forEach(this::onEntryLearnt);
    }

    private boolean isOtherEntry(FleetNode node) {
        if (node.role() != ProcessRole.ENTRY || node.process().equals(mSelf.process())) {
            return false;
        }
        if (!node.hasValidAddress()) {
            logInvalidAddress(node);
            return false;
        }
        return true;
    }

    private void onEntryLearnt(FleetNode entry) {
        LOG.event("entry_learnt")
                .with("entry", entry.process())
                .with("host", entry.host())
                .with("started", entry.startedAtMs())
                .info();
        mEntriesChanged = true;
        hastenRound();
    }

    private void sendEntriesIfDue() {
        if (mSelf.role() != ProcessRole.ENTRY) {
            return;
        }
        synchronized (this) {
            boolean periodic = nowMs() - mEntriesSentAtMs >= ENTRIES_INTERVAL_MS;
            if (!periodic && !mEntriesChanged) {
                return;
            }
            mEntriesChanged = false;
            mEntriesSentAtMs = nowMs();
        }
        FleetEntries entries = knownEntries();
        broadcast(entries, ProcessRole.ENTRY);
        broadcast(entries, ProcessRole.AGENT);
    }

    private synchronized FleetEntries knownEntries() {
        List<KnownEntry> entries = new ArrayList<>(mMembership.knownEntries(nowMs()));
        entries.add(new KnownEntry(mSelf, 0));
        return new FleetEntries(entries);
    }

    private static void logInvalidAddress(FleetNode node) {
        LOG.event("address_invalid")
                .with("process", node.process())
                .with("host", node.host())
                .with("port", node.port())
                .warn();
    }

    /** Returns the known entries, including this process if it is an entry. */
    synchronized List<FleetNode> entries() {
        List<FleetNode> entries = new ArrayList<>(mMembership.entries());
        if (mSelf.role() == ProcessRole.ENTRY) {
            entries.add(mSelf);
        }
        return entries;
    }

    /** Returns the connected peers that have the given role. */
    synchronized List<FleetNode> connectedPeers(ProcessRole role) {
        List<FleetNode> peers = new ArrayList<>();
        for (List<Link> links : mLinks.values()) {
            FleetNode peer = links.get(0).mPeer.orElseThrow();
            if (peer.role() == role) {
                peers.add(peer);
            }
        }
        return peers;
    }

    /** Sends a message; returns false only if the message is certain never to be sent. */
    boolean send(ProcessId peer, Message message) {
        return linksTo(peer).stream().anyMatch(link -> link.send(message));
    }

    /**
     * Sends a message; returns false only if the message is certain never to be sent, and otherwise
     * runs the action once the message has left the queue or its link is closed.
     */
    boolean send(ProcessId peer, Message message, Runnable onDequeued) {
        return linksTo(peer).stream().anyMatch(link -> link.send(message, onDequeued));
    }

    private synchronized List<Link> linksTo(ProcessId peer) {
        return List.copyOf(mLinks.getOrDefault(peer, List.of()));
    }

    /** Sends a message to all connected peers that have the given role. */
    void broadcast(Message message, ProcessRole role) {
        for (FleetNode peer : connectedPeers(role)) {
            send(peer.process(), message);
        }
    }

    /** Opens a link beside those to each connected peer that has been silent for too long. */
    void reopenSilentLinks(ProcessRole role, long timeoutMs) {
        for (FleetNode peer : connectedPeers(role)) {
            reopenIfSilent(peer.process(), Long.MIN_VALUE, timeoutMs);
        }
    }

    /**
     * Opens a link beside those to a peer if it is connected and has been silent for too long.
     *
     * @param expectedSinceMs time since which messages of the peer are expected, in milliseconds
     */
    void reopenIfSilent(ProcessId peer, long expectedSinceMs, long timeoutMs) {
        FleetNode node;
        synchronized (this) {
            List<Link> links = mLinks.getOrDefault(peer, List.of());
            if (links.isEmpty()) {
                return;
            }
            long heardAtMs = links.stream().mapToLong(link -> link.mReceivedAtMs).max().orElse(0);
            long silentMs = nowMs() - Math.max(heardAtMs, expectedSinceMs);
            if (silentMs <= timeoutMs) {
                return;
            }
            ReopenState state = mReopenStates.computeIfAbsent(peer, key -> new ReopenState());
            if (heardAtMs > state.mAttemptedAtMs) {
                state.mDelayMs = INITIAL_REOPEN_DELAY_MS;
            } else if (nowMs() - state.mAttemptedAtMs < state.mDelayMs) {
                return;
            } else {
                state.mDelayMs = Math.min(MAXIMUM_REOPEN_DELAY_MS, 2 * state.mDelayMs);
            }
            state.mAttemptedAtMs = nowMs();
            node = links.get(0).mPeer.orElseThrow();
            LOG.event("link_reopened").with("peer", peer).with("silent_ms", silentMs).info();
        }
        connect(address(node));
    }

    private void connectToDueAddresses() {
        GuardedTask.run("connect", this::connectAndSendKeepAlives);
        scheduleRound(nextRoundDelayMs());
    }

    private synchronized void scheduleRound(long delayMs) {
        mRoundNumber++;
        mNextRoundAtMs = nowMs() + delayMs;
        long number = mRoundNumber;
        mScheduler.scheduleDirect(() -> runRound(number), delayMs, TimeUnit.MILLISECONDS);
    }

    private void runRound(long number) {
        synchronized (this) {
            if (number != mRoundNumber) {
                return;
            }
        }
        connectToDueAddresses();
    }

    // What was discovered is connected and announced as soon as while an address is missing.
    private void hastenRound() {
        if (mRoundNumber > 0 && mNextRoundAtMs - nowMs() > CONNECT_INTERVAL_MS) {
            scheduleRound(CONNECT_INTERVAL_MS);
        }
    }

    private synchronized long nextRoundDelayMs() {
        long nextAttemptMs =
                missingAddresses().stream()
                        .mapToLong(address -> dialState(address).mNextAttemptMs)
                        .min()
                        .orElse(Long.MAX_VALUE);
        return Math.max(
                CONNECT_INTERVAL_MS, Math.min(CONNECTED_INTERVAL_MS, nextAttemptMs - nowMs()));
    }

    private void connectAndSendKeepAlives() {
        List<FleetNode> gone;
        List<InetSocketAddress> due = new ArrayList<>();
        synchronized (this) {
            mLinks.keySet().forEach(peer -> mMembership.onContact(peer, nowMs()));
            gone = mMembership.removeGone(nowMs());
            removeUnwantedDials();
            for (InetSocketAddress address : missingAddresses()) {
                DialState state = dialState(address);
                if (nowMs() >= state.mNextAttemptMs) {
                    state.mInUse = true;
                    due.add(address);
                }
            }
        }
        gone.forEach(this::onEntryGone);
        due.forEach(this::connect);
        sendEntriesIfDue();
        sendKeepAlives();
    }

    private void onEntryGone(FleetNode entry) {
        LOG.event("entry_gone")
                .with("entry", entry.process())
                .with("host", entry.host())
                .with("started", entry.startedAtMs())
                .info();
        mListener.onEntryGone(entry);
    }

    /** Returns the addresses that should be connected, but are neither connected nor being so. */
    private Set<InetSocketAddress> missingAddresses() {
        Set<InetSocketAddress> missing = wantedAddresses();
        missing.removeAll(connectedAddresses());
        missing.removeIf(address -> dialState(address).mInUse);
        return missing;
    }

    private void removeUnwantedDials() {
        Set<InetSocketAddress> wanted = wantedAddresses();
        mDials.entrySet()
                .removeIf(dial -> !dial.getValue().mInUse && !wanted.contains(dial.getKey()));
    }

    private Set<InetSocketAddress> wantedAddresses() {
        Set<InetSocketAddress> wanted = new LinkedHashSet<>(mSeeds);
        mMembership.entries().forEach(entry -> wanted.add(address(entry)));
        wanted.remove(mSelfAddress);
        return wanted;
    }

    private Set<InetSocketAddress> connectedAddresses() {
        Set<InetSocketAddress> connected = new HashSet<>();
        connectedPeers(ProcessRole.ENTRY).forEach(peer -> connected.add(address(peer)));
        return connected;
    }

    private DialState dialState(InetSocketAddress address) {
        return mDials.computeIfAbsent(address, key -> new DialState());
    }

    private static InetSocketAddress address(FleetNode node) {
        return new InetSocketAddress(node.host(), node.port());
    }

    private void connect(InetSocketAddress address) {
        mTransport.connect(
                address, new Link(Optional.of(address)), error -> onConnectFailed(address, error));
    }

    private synchronized void onConnectFailed(InetSocketAddress address, Throwable error) {
        DialState state = dialState(address);
        LOG.event("dial_failed").with("address", address).with("cause", error).debug();
        state.mInUse = false;
        state.mNextAttemptMs = nowMs() + state.mRetryDelayMs;
        state.mRetryDelayMs = Math.min(MAXIMUM_RETRY_DELAY_MS, 2 * state.mRetryDelayMs);
        hastenRound();
    }

    private void sendKeepAlives() {
        List<Link> links = new ArrayList<>();
        synchronized (this) {
            mLinks.values().forEach(links::addAll);
        }
        FleetHello hello = new FleetHello(mSelf);
        for (Link link : links) {
            link.logSilence();
            if (nowMs() - link.mSentAtMs >= KEEP_ALIVE_INTERVAL_MS) {
                link.send(hello);
            }
        }
    }

    private long nowMs() {
        return mScheduler.now(TimeUnit.MILLISECONDS);
    }

    /** One connection to a peer. */
    private final class Link implements MessageListener {
        private final Optional<InetSocketAddress> mConnectAddress;
        private Optional<FleetNode> mPeer = Optional.empty();
        private Optional<MessageConnection> mConnection = Optional.empty();
        private volatile long mSentAtMs;
        private volatile long mReceivedAtMs = nowMs();
        private volatile boolean mSilenceLogged;

        Link(Optional<InetSocketAddress> connectAddress) {
            mConnectAddress = connectAddress;
        }

        boolean send(Message message) {
            mSentAtMs = nowMs();
            return mConnection.isPresent() && mConnection.get().send(message);
        }

        boolean send(Message message, Runnable onDequeued) {
            mSentAtMs = nowMs();
            return mConnection.isPresent() && mConnection.get().send(message, onDequeued);
        }

        void close() {
            mConnection.ifPresent(MessageConnection::close);
        }

        @Override
        public void onOpen(MessageConnection connection) {
            mConnection = Optional.of(connection);
            connection.send(new FleetHello(mSelf));
            if (mSelf.role() == ProcessRole.ENTRY) {
                connection.send(knownEntries());
            }
            synchronized (FleetLinks.this) {
                mConnectAddress.ifPresent(
                        address -> dialState(address).mRetryDelayMs = INITIAL_RETRY_DELAY_MS);
            }
        }

        private void logSilence() {
            long silentMs = nowMs() - mReceivedAtMs;
            if (mSilenceLogged || silentMs <= SILENCE_LOG_MS || mPeer.isEmpty()) {
                return;
            }
            mSilenceLogged = true;
            LOG.event("link_silent")
                    .with("peer", mPeer.get().process())
                    .with("silent_ms", silentMs)
                    .info();
        }

        @Override
        public void onMessage(MessageConnection connection, Message message) {
            mReceivedAtMs = nowMs();
            mSilenceLogged = false;
            if (message instanceof FleetHello hello) {
                onHello(hello.node());
                return;
            }
            if (message instanceof FleetEntries entries) {
                addKnownEntries(entries.entries());
                return;
            }
            mPeer.ifPresent(peer -> mListener.onMessage(peer, message));
        }

        private void onHello(FleetNode peer) {
            if (mPeer.isPresent()) {
                return;
            }
            if (!peer.hasValidAddress()) {
                logInvalidAddress(peer);
                close();
                return;
            }
            mPeer = Optional.of(peer);
            List<Link> replaced = new ArrayList<>();
            boolean first;
            synchronized (FleetLinks.this) {
                List<Link> links = mLinks.computeIfAbsent(peer.process(), key -> new ArrayList<>());
                for (Link link : links) {
                    boolean outdated =
                            peer.role() == ProcessRole.AGENT
                                    || link.mPeer.orElseThrow().startedAtMs() < peer.startedAtMs();
                    if (outdated) {
                        replaced.add(link);
                    }
                }
                links.removeAll(replaced);
                first = links.isEmpty();
                links.add(0, this);
                while (links.size() > MAXIMUM_LINKS_TO_ENTRY) {
                    replaced.add(links.remove(links.size() - 1));
                }
            }
            replaced.forEach(Link::close);
            addKnownEntries(List.of(new KnownEntry(peer, 0)));
            if (first) {
                LOG.event("link_opened").with("peer", peer.process()).info();
                mListener.onConnected(peer);
            }
        }

        @Override
        public void onClose(MessageConnection connection) {
            boolean last = false;
            synchronized (FleetLinks.this) {
                mConnectAddress.ifPresent(
                        address -> {
                            DialState state = dialState(address);
                            state.mInUse = false;
                            state.mNextAttemptMs = nowMs() + INITIAL_RETRY_DELAY_MS;
                        });
                hastenRound();
                if (mPeer.isPresent()) {
                    List<Link> links =
                            mLinks.getOrDefault(mPeer.get().process(), new ArrayList<>());
                    boolean removed = links.remove(this);
                    last = removed && links.isEmpty();
                    if (last) {
                        mLinks.remove(mPeer.get().process());
                        mReopenStates.remove(mPeer.get().process());
                    }
                }
            }
            if (last) {
                FleetNode peer = mPeer.orElseThrow();
                LOG.event("link_closed").with("peer", peer.process()).info();
                mListener.onDisconnected(peer);
            }
        }
    }
}
