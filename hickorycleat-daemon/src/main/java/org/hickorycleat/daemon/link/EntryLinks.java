package org.hickorycleat.daemon.link;

import io.reactivex.rxjava3.core.Scheduler;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import org.hickorycleat.daemon.logging.EventLog;
import org.hickorycleat.daemon.transport.MessageTransport;
import org.hickorycleat.model.identifier.ProcessId;
import org.hickorycleat.model.message.EntryAddress;
import org.hickorycleat.model.message.Message;

/** Manages the links of a process to entries, up to a maximum number. */
public final class EntryLinks {
    private static final EventLog LOG = EventLog.of(EntryLinks.class);

    /** Time without a session after which a link is replaced by one to a discovered entry. */
    private static final long REPLACEMENT_DELAY_MS = 10_000;

    private final MessageTransport mTransport;
    private final Scheduler mScheduler;
    private final EntryLinkHandler mHandler;
    private final int mMaximumLinks;
    private final Map<InetSocketAddress, EntryLink> mLinks = new ConcurrentHashMap<>();

    /** Creates the links; {@link #add} starts them. */
    public EntryLinks(
            MessageTransport transport,
            Scheduler scheduler,
            EntryLinkHandler handler,
            int maximumLinks) {
        mTransport = transport;
        mScheduler = scheduler;
        mHandler = handler;
        mMaximumLinks = maximumLinks;
    }

    /** Adds a link to each address until the maximum number is reached. */
    public void add(List<InetSocketAddress> addresses) {
        addresses.forEach(this::add);
    }

    /** Adds links to entries that another entry reported. */
    public void addDiscovered(List<EntryAddress> entries) {
        for (EntryAddress entry : entries) {
            if (entry.hasValidPort()) {
                add(new InetSocketAddress(entry.host(), entry.port()));
            } else {
                LOG.event("address_invalid")
                        .with("process", entry.process())
                        .with("host", entry.host())
                        .with("port", entry.port())
                        .warn();
            }
        }
    }

    /**
     * Returns whether a link already has a session with this entry in the candidate's incarnation.
     */
    public boolean hasSessionWith(ProcessId entry, EntrySession candidate) {
        return mLinks.values().stream()
                .flatMap(link -> link.session().stream())
                .anyMatch(
                        session ->
                                session.entry().equals(entry)
                                        && session.incarnation().equals(candidate.incarnation()));
    }

    /** Sends a message in every open session. */
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

    /**
     * Closes and removes links that have been disconnected for the replacement delay, so that
     * entries at new addresses can be added.
     */
    private void removeDisconnectedLinks() {
        mLinks.values()
                .removeIf(
                        link -> {
                            boolean disconnected = link.isDisconnectedFor(REPLACEMENT_DELAY_MS);
                            if (disconnected) {
                                link.close();
                            }
                            return disconnected;
                        });
    }

    private synchronized void add(InetSocketAddress address) {
        if (mLinks.containsKey(address)) {
            return;
        }
        if (mLinks.size() >= mMaximumLinks) {
            removeDisconnectedLinks();
        }
        if (mLinks.size() >= mMaximumLinks) {
            return;
        }
        EntryLink link = new EntryLink(address, mTransport, mScheduler, mHandler);
        mLinks.put(address, link);
        link.connect();
    }
}
