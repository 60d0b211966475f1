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

/** Tracks which other entries are alive and maintains a link to each. */
final class PeerEntries implements EntryLinkHandler {
    /** Maximum number of linked entries: 8 availability zones with up to 8 entries each. */
    private static final int MAXIMUM_LINKS = 64;

    /** An entry without contact for this long no longer counts as sharing the targets. */
    private static final long LIVENESS_TIMEOUT_MS = 3_000;

    private final EntryAddress mSelf;
    private final Incarnation mIncarnation;
    private final Scheduler mScheduler;
    private final EntryLinks mLinks;
    private final AtomicLong mSessions = new AtomicLong();
    private final Map<ProcessId, LastContact> mLastContacts = new ConcurrentHashMap<>();

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

    /** Address of an entry and the time of its last contact. */
    private record LastContact(Optional<EntryAddress> address, long atMs) {}

    /** Opens links to the configured addresses. */
    void add(List<InetSocketAddress> addresses) {
        mLinks.add(addresses.stream().filter(address -> !isSelf(address)).toList());
    }

    /** Broadcasts a message to all other entries. */
    void send(Message message) {
        mLinks.broadcast(message);
    }

    /** Records contact from an entry that opened a connection or sent a message. */
    void recordHeartbeat(Hello peer) {
        mLastContacts.put(peer.process(), new LastContact(peer.address(), nowMs()));
        peer.address().ifPresent(address -> onEntriesDiscovered(List.of(address)));
    }

    /** Returns the addresses of this entry and of the other live entries. */
    List<EntryAddress> liveEntries() {
        long nowMs = nowMs();
        List<EntryAddress> live = new ArrayList<>(List.of(mSelf));
        mLastContacts.values().stream()
                .filter(contact -> nowMs - contact.atMs() < LIVENESS_TIMEOUT_MS)
                .flatMap(contact -> contact.address().stream())
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
        // The periodic summary is sent within a second.
    }

    @Override
    public void onMessage(EntrySession session, Message message) {
        // Other entries send their messages over the links that they opened.
    }

    @Override
    public void onSessionClosed(EntrySession session) {
        // The entry counts as alive until its heartbeats time out.
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
