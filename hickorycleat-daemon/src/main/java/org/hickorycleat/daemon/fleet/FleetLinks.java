package org.hickorycleat.daemon.fleet;

import io.reactivex.rxjava3.core.Scheduler;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.hickorycleat.daemon.logging.EventLog;
import org.hickorycleat.daemon.transport.MessageConnection;
import org.hickorycleat.daemon.transport.MessageListener;
import org.hickorycleat.daemon.transport.MessageTransport;
import org.hickorycleat.model.identifier.ProcessId;
import org.hickorycleat.model.message.FleetEntries;
import org.hickorycleat.model.message.FleetHello;
import org.hickorycleat.model.message.FleetNode;
import org.hickorycleat.model.message.Message;
import org.hickorycleat.model.message.ProcessRole;

/**
 * Keeps a link from this process to every entry that it knows.
 *
 * <p>Entries are learnt from seeds, from the store and from other entries. Two entries may have two
 * links; an agent has one link to each entry, and its newest link replaces older ones.
 */
final class FleetLinks {
    private static final EventLog LOG = EventLog.of(FleetLinks.class);

    /** Time between rounds of dialling, in milliseconds. */
    private static final long DIAL_INTERVAL_MS = 150;

    /** First and longest pause between two attempts at one address, in milliseconds. */
    private static final long FIRST_PAUSE_MS = 150;

    private static final long LONGEST_PAUSE_MS = 2_000;

    /** An address that could not be reached for this long is forgotten, in milliseconds. */
    private static final long FORGET_MS = 60_000;

    /** Time between two keep-alives; well below the silence limit of links, in milliseconds. */
    private static final long KEEP_ALIVE_MS = 2_000;

    private final MessageTransport mTransport;
    private final FleetNode mSelf;
    private final FleetLinkListener mListener;
    private final Scheduler mScheduler;
    private final Map<ProcessId, FleetNode> mEntries = new LinkedHashMap<>();
    private final Map<InetSocketAddress, Dial> mDials = new HashMap<>();
    private final Map<ProcessId, List<Link>> mLinks = new HashMap<>();
    private long mKeptAliveAtMs;

    /** Attempts at one address. */
    private static final class Dial {
        private long mNotBeforeMs;
        private long mPauseMs = FIRST_PAUSE_MS;
        private long mReachedAtMs;
        private boolean mOpen;
    }

    FleetLinks(
            MessageTransport transport,
            FleetNode self,
            FleetLinkListener listener,
            Scheduler scheduler) {
        mTransport = transport;
        mSelf = self;
        mListener = listener;
        mScheduler = scheduler;
    }

    /** Listens and starts to dial. */
    void start(List<InetSocketAddress> seeds) throws InterruptedException {
        mTransport.listen(
                new InetSocketAddress(mSelf.host(), mSelf.port()),
                () -> new Link(Optional.empty()));
        addAddresses(seeds);
        dialRound();
    }

    /** Learns addresses at which entries may be. */
    synchronized void addAddresses(Collection<InetSocketAddress> addresses) {
        for (InetSocketAddress address : addresses) {
            if (!address.equals(new InetSocketAddress(mSelf.host(), mSelf.port()))) {
                mDials.computeIfAbsent(address, key -> newDial());
            }
        }
    }

    private Dial newDial() {
        Dial dial = new Dial();
        dial.mReachedAtMs = nowMs();
        return dial;
    }

    /** Learns entries; the newest address of each counts. */
    void addEntries(Collection<FleetNode> entries) {
        boolean news = false;
        synchronized (this) {
            for (FleetNode entry : entries) {
                news |= addEntries(entry);
            }
        }
        if (news) {
            broadcast(new FleetEntries(entries()), ProcessRole.AGENT);
        }
    }

    private boolean addEntries(FleetNode entry) {
        if (entry.role() != ProcessRole.ENTRY || entry.process().equals(mSelf.process())) {
            return false;
        }
        FleetNode known = mEntries.get(entry.process());
        if (known != null && known.startedAtMs() >= entry.startedAtMs()) {
            return false;
        }
        LOG.event("entry_learnt")
                .with("entry", entry.process())
                .with("host", entry.host())
                .with("started", entry.startedAtMs())
                .info();
        mEntries.put(entry.process(), entry);
        addAddresses(List.of(new InetSocketAddress(entry.host(), entry.port())));
        return true;
    }

    /** Returns the known entries, this process among them if it is one. */
    synchronized List<FleetNode> entries() {
        List<FleetNode> entries = new ArrayList<>(mEntries.values());
        if (mSelf.role() == ProcessRole.ENTRY) {
            entries.add(mSelf);
        }
        return entries;
    }

    /** Returns the connected peers of a role. */
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

    /** Sends a message; returns false when it is certain that it is never sent. */
    boolean send(ProcessId peer, Message message) {
        List<Link> links;
        synchronized (this) {
            links = List.copyOf(mLinks.getOrDefault(peer, List.of()));
        }
        for (Link link : links) {
            if (link.send(message)) {
                return true;
            }
        }
        return false;
    }

    /** Sends a message to all connected peers of a role. */
    void broadcast(Message message, ProcessRole role) {
        for (FleetNode peer : connectedPeers(role)) {
            send(peer.process(), message);
        }
    }

    /** Closes the links to a peer, so that they are opened anew. */
    void closeLinksTo(ProcessId peer) {
        List<Link> links;
        synchronized (this) {
            links = List.copyOf(mLinks.getOrDefault(peer, List.of()));
        }
        links.forEach(Link::close);
    }

    private void dialRound() {
        List<InetSocketAddress> due = new ArrayList<>();
        synchronized (this) {
            mDials.values().removeIf(dial -> !dial.mOpen && isForgotten(dial));
            for (Map.Entry<InetSocketAddress, Dial> dial : mDials.entrySet()) {
                boolean mayDial = !dial.getValue().mOpen && !isLinked(dial.getKey());
                if (mayDial && nowMs() >= dial.getValue().mNotBeforeMs) {
                    dial.getValue().mOpen = true;
                    due.add(dial.getKey());
                }
            }
        }
        due.forEach(this::dial);
        keepAlive();
        mScheduler.scheduleDirect(this::dialRound, DIAL_INTERVAL_MS, TimeUnit.MILLISECONDS);
    }

    private boolean isForgotten(Dial dial) {
        return nowMs() - dial.mReachedAtMs > FORGET_MS;
    }

    private boolean isLinked(InetSocketAddress address) {
        for (List<Link> links : mLinks.values()) {
            FleetNode peer = links.get(0).mPeer.orElseThrow();
            if (new InetSocketAddress(peer.host(), peer.port()).equals(address)) {
                return true;
            }
        }
        return false;
    }

    private void dial(InetSocketAddress address) {
        mTransport.connect(
                address, new Link(Optional.of(address)), error -> onDialFailed(address, error));
    }

    private synchronized void onDialFailed(InetSocketAddress address, Throwable error) {
        Dial dial = mDials.get(address);
        if (dial == null) {
            return;
        }
        LOG.event("dial_failed").with("address", address).with("cause", error).debug();
        dial.mOpen = false;
        dial.mNotBeforeMs = nowMs() + dial.mPauseMs;
        dial.mPauseMs = Math.min(LONGEST_PAUSE_MS, 2 * dial.mPauseMs);
    }

    private void keepAlive() {
        if (nowMs() - mKeptAliveAtMs < KEEP_ALIVE_MS) {
            return;
        }
        mKeptAliveAtMs = nowMs();
        List<Link> links = new ArrayList<>();
        synchronized (this) {
            mLinks.values().forEach(links::addAll);
        }
        FleetHello hello = new FleetHello(mSelf);
        links.forEach(link -> link.send(hello));
    }

    private long nowMs() {
        return mScheduler.now(TimeUnit.MILLISECONDS);
    }

    /** One connection to a peer. */
    private final class Link implements MessageListener {
        private final Optional<InetSocketAddress> mDialled;
        private Optional<FleetNode> mPeer = Optional.empty();
        private Optional<MessageConnection> mConnection = Optional.empty();

        Link(Optional<InetSocketAddress> dialled) {
            mDialled = dialled;
        }

        boolean send(Message message) {
            return mConnection.isPresent() && mConnection.get().send(message);
        }

        void close() {
            mConnection.ifPresent(MessageConnection::close);
        }

        @Override
        public void onOpen(MessageConnection connection) {
            mConnection = Optional.of(connection);
            connection.send(new FleetHello(mSelf));
            if (mSelf.role() == ProcessRole.ENTRY) {
                connection.send(new FleetEntries(entries()));
            }
            synchronized (FleetLinks.this) {
                mDialled.map(mDials::get)
                        .ifPresent(
                                dial -> {
                                    dial.mPauseMs = FIRST_PAUSE_MS;
                                    dial.mReachedAtMs = nowMs();
                                });
            }
        }

        @Override
        public void onMessage(MessageConnection connection, Message message) {
            if (message instanceof FleetHello hello) {
                onHello(hello.node());
                return;
            }
            if (message instanceof FleetEntries entries) {
                addEntries(entries.entries());
                return;
            }
            mPeer.ifPresent(peer -> mListener.onMessage(peer, message));
        }

        private void onHello(FleetNode peer) {
            if (mPeer.isPresent()) {
                return;
            }
            mPeer = Optional.of(peer);
            List<Link> replaced = new ArrayList<>();
            boolean first;
            synchronized (FleetLinks.this) {
                List<Link> links = mLinks.computeIfAbsent(peer.process(), key -> new ArrayList<>());
                for (Link link : links) {
                    boolean older =
                            peer.role() == ProcessRole.AGENT
                                    || link.mPeer.orElseThrow().startedAtMs() < peer.startedAtMs();
                    if (older) {
                        replaced.add(link);
                    }
                }
                links.removeAll(replaced);
                first = links.isEmpty();
                links.add(this);
            }
            replaced.forEach(Link::close);
            addEntries(List.of(peer));
            if (first) {
                LOG.event("link_opened").with("peer", peer.process()).info();
                mListener.onConnected(peer);
            }
        }

        @Override
        public void onClose(MessageConnection connection) {
            boolean last = false;
            synchronized (FleetLinks.this) {
                mDialled.map(mDials::get)
                        .ifPresent(
                                dial -> {
                                    dial.mOpen = false;
                                    dial.mNotBeforeMs = nowMs() + FIRST_PAUSE_MS;
                                });
                if (mPeer.isPresent()) {
                    List<Link> links =
                            mLinks.getOrDefault(mPeer.get().process(), new ArrayList<>());
                    boolean removed = links.remove(this);
                    last = removed && links.isEmpty();
                    if (last) {
                        mLinks.remove(mPeer.get().process());
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
