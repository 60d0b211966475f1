package org.hickorycleat.daemon.entry;

import io.reactivex.rxjava3.core.Scheduler;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import org.hickorycleat.daemon.link.EntryLinkHandler;
import org.hickorycleat.daemon.link.EntryLinks;
import org.hickorycleat.daemon.link.EntrySession;
import org.hickorycleat.daemon.transport.MessageCodec;
import org.hickorycleat.daemon.transport.MessageTransport;
import org.hickorycleat.model.identifier.Incarnation;
import org.hickorycleat.model.identifier.ProcessId;
import org.hickorycleat.model.identifier.SessionNumber;
import org.hickorycleat.model.message.EntryAddress;
import org.hickorycleat.model.message.Hello;
import org.hickorycleat.model.message.Message;
import org.hickorycleat.model.message.ProcessRole;
import org.hickorycleat.model.message.Welcome;

/** The other entries: which are alive, where they listen, and a link to each. */
final class PeerEntries implements EntryLinkHandler {
    /** Entries that an entry keeps links to; 8 availability zones with up to 8 entries each. */
    private static final int MAXIMUM_LINKS = 64;

    /** An entry that was not heard of for this long no longer shares the targets. */
    private static final long LIVE_LIMIT_MS = 3_000;

    private final EntryAddress mSelf;
    private final Incarnation mIncarnation;
    private final Scheduler mScheduler;
    private final EntryLinks mLinks;
    private final AtomicLong mSessions = new AtomicLong();
    private final Map<ProcessId, Heard> mHeard = new ConcurrentHashMap<>();

    PeerEntries(
            EntryAddress self,
            Incarnation incarnation,
            MessageTransport transport,
            Scheduler scheduler) {
        mSelf = self;
        mIncarnation = incarnation;
        mScheduler = scheduler;
        mLinks = new EntryLinks(transport, scheduler, this, MAXIMUM_LINKS);
    }

    /** An entry and when it was last heard of. */
    private record Heard(Optional<EntryAddress> address, long atMs) {}

    /** Starts links to the addresses of the settings. */
    void add(List<InetSocketAddress> addresses) {
        mLinks.add(addresses.stream().filter(address -> !isSelf(address)).toList());
    }

    /** Sends a message to every other entry. */
    void send(Message message) {
        mLinks.broadcast(message);
    }

    /** Another entry opened a connection or sent something over it. */
    void recordHeartbeat(Hello peer) {
        mHeard.put(peer.process(), new Heard(peer.address(), nowMs()));
        peer.address().ifPresent(address -> onEntriesDiscovered(List.of(address)));
    }

    /** Returns this entry and the others that are alive, with their addresses. */
    List<EntryAddress> liveEntries() {
        long nowMs = nowMs();
        List<EntryAddress> live = new ArrayList<>(List.of(mSelf));
        mHeard.values().stream()
                .filter(heard -> nowMs - heard.atMs() < LIVE_LIMIT_MS)
                .flatMap(heard -> heard.address().stream())
                .forEach(live::add);
        live.sort(Comparator.comparing(EntryAddress::process));
        return live;
    }

    /** Closes the links. */
    void close() {
        mLinks.close();
    }

    @Override
    public SessionNumber nextSessionNumber() {
        return new SessionNumber(mSessions.incrementAndGet());
    }

    @Override
    public Hello hello(SessionNumber session) {
        return new Hello(
                MessageCodec.PROTOCOL_VERSION,
                mSelf.process(),
                ProcessRole.ENTRY,
                mIncarnation,
                session,
                mSelf.zone(),
                Optional.of(mSelf));
    }

    @Override
    public boolean acceptWelcome(EntrySession session, Welcome welcome) {
        onEntriesDiscovered(welcome.entries());
        return !welcome.process().equals(mSelf.process());
    }

    @Override
    public void onSessionOpened(EntrySession session) {
        // The next summary goes out within a second.
    }

    @Override
    public void onMessage(EntrySession session, Message message) {
        // Other entries answer over the links that they opened.
    }

    @Override
    public void onSessionClosed(EntrySession session) {
        // The entry counts as alive until its summaries stop.
    }

    @Override
    public void onEntriesDiscovered(List<EntryAddress> entries) {
        mLinks.addDiscovered(
                entries.stream()
                        .filter(entry -> !entry.process().equals(mSelf.process()))
                        .toList());
    }

    private boolean isSelf(InetSocketAddress address) {
        return address.getHostString().equals(mSelf.host()) && address.getPort() == mSelf.port();
    }

    private long nowMs() {
        return mScheduler.now(TimeUnit.MILLISECONDS);
    }
}
