package org.hickorycleat.daemon.link;

import io.reactivex.rxjava3.core.Scheduler;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import org.hickorycleat.daemon.transport.MessageTransport;
import org.hickorycleat.model.identifier.ProcessId;
import org.hickorycleat.model.message.EntryAddress;
import org.hickorycleat.model.message.Message;

/** The links of a process to entries, at most a fixed number. */
public final class EntryLinks {
    /** A link without session for this long gives way to an entry that is known to run. */
    private static final long REPLACEMENT_DELAY_MS = 10_000;

    private final MessageTransport mTransport;
    private final Scheduler mScheduler;
    private final EntryLinkHandler mOwner;
    private final int mMaximumLinks;
    private final Map<InetSocketAddress, EntryLink> mLinks = new ConcurrentHashMap<>();

    /** Creates the links; {@link #add} starts them. */
    public EntryLinks(
            MessageTransport transport,
            Scheduler scheduler,
            EntryLinkHandler owner,
            int maximumLinks) {
        mTransport = transport;
        mScheduler = scheduler;
        mOwner = owner;
        mMaximumLinks = maximumLinks;
    }

    /** Adds a link to each address while there is room. */
    public void add(List<InetSocketAddress> addresses) {
        addresses.forEach(this::add);
    }

    /** Adds links to entries that another entry knows. */
    public void addDiscovered(List<EntryAddress> entries) {
        entries.forEach(entry -> add(new InetSocketAddress(entry.host(), entry.port())));
    }

    /** Tells whether another link than the given address leads to this entry already. */
    public boolean hasSessionWith(ProcessId entry, EntrySession except) {
        return mLinks.values().stream()
                .flatMap(link -> link.session().stream())
                .anyMatch(
                        session ->
                                session.entry().equals(entry)
                                        && session.incarnation().equals(except.incarnation()));
    }

    /** Sends a message over every open session. */
    public void broadcast(Message message) {
        sessions().forEach(session -> session.connection().send(message));
    }

    /** Returns the open sessions. */
    public List<EntrySession> sessions() {
        return mLinks.values().stream().flatMap(link -> link.session().stream()).toList();
    }

    /** Closes all links. */
    public void close() {
        mLinks.values().forEach(EntryLink::close);
    }

    /** Makes room for entries that replaced others at new addresses. */
    private void removeLinksThatAreDown() {
        mLinks.values()
                .removeIf(
                        link -> {
                            boolean down = link.isDownFor(REPLACEMENT_DELAY_MS);
                            if (down) {
                                link.close();
                            }
                            return down;
                        });
    }

    private synchronized void add(InetSocketAddress address) {
        if (mLinks.containsKey(address)) {
            return;
        }
        if (mLinks.size() >= mMaximumLinks) {
            removeLinksThatAreDown();
        }
        if (mLinks.size() >= mMaximumLinks) {
            return;
        }
        EntryLink link = new EntryLink(address, mTransport, mScheduler, mOwner);
        mLinks.put(address, link);
        link.connect();
    }
}
