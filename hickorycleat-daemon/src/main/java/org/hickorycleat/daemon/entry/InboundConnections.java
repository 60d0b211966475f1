package org.hickorycleat.daemon.entry;

import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Supplier;
import java.util.stream.Stream;
import org.hickorycleat.daemon.http.ProcessStatus;
import org.hickorycleat.daemon.logging.EventLog;
import org.hickorycleat.daemon.transport.MessageCodec;
import org.hickorycleat.daemon.transport.MessageConnection;
import org.hickorycleat.daemon.transport.MessageListener;
import org.hickorycleat.logic.port.AgentLink;
import org.hickorycleat.model.identifier.ProcessId;
import org.hickorycleat.model.message.Failure;
import org.hickorycleat.model.message.Hello;
import org.hickorycleat.model.message.Message;
import org.hickorycleat.model.message.ProcessRole;
import org.hickorycleat.model.message.Welcome;
import org.hickorycleat.model.result.ResultCode;

/** The connections that agents and other entries opened to this entry. */
final class InboundConnections implements AgentLink {
    private static final EventLog LOG = EventLog.of(InboundConnections.class);

    private final Supplier<Welcome> mWelcome;
    private final InboundConnectionListener mEvents;
    private final Map<ProcessId, Peer> mAgents = new ConcurrentHashMap<>();
    private final Map<ProcessId, Peer> mEntries = new ConcurrentHashMap<>();
    private volatile Optional<Welcome> mLastWelcome = Optional.empty();

    InboundConnections(Supplier<Welcome> welcome, InboundConnectionListener events) {
        mWelcome = welcome;
        mEvents = events;
    }

    /** A process that said hello, and its connection. */
    private record Peer(Hello hello, MessageConnection connection) {}

    /** Creates the listener of a new connection. */
    MessageListener newListener() {
        return new Listener();
    }

    @Override
    public boolean send(ProcessId agent, Message message) {
        Peer peer = mAgents.get(agent);
        return peer != null && peer.connection().send(message);
    }

    /**
     * Sends the list of entries to everybody if it has changed, and an empty one otherwise.
     *
     * <p>A connection that is silent is closed; the whole list each second would use up most of
     * what control may cost a node.
     */
    void sendWelcomes() {
        Welcome welcome = mWelcome.get();
        boolean changed = !Optional.of(welcome).equals(mLastWelcome);
        mLastWelcome = Optional.of(welcome);
        Message message = changed ? welcome : withoutEntries(welcome);
        mAgents.values().forEach(peer -> peer.connection().send(message));
        mEntries.values().forEach(peer -> peer.connection().send(message));
    }

    private static Welcome withoutEntries(Welcome welcome) {
        return new Welcome(welcome.process(), welcome.incarnation(), welcome.zone(), List.of());
    }

    /** Returns the connections for the status of the process. */
    List<ProcessStatus.Link> links() {
        return Stream.concat(mAgents.values().stream(), mEntries.values().stream())
                .map(Peer::hello)
                .map(InboundConnections::link)
                .toList();
    }

    /** Returns the agents that are connected. */
    List<Hello> agents() {
        return mAgents.values().stream().map(Peer::hello).toList();
    }

    private static ProcessStatus.Link link(Hello hello) {
        return new ProcessStatus.Link(
                hello.process().value(),
                hello.role().name().toLowerCase(Locale.ROOT),
                hello.zone().value());
    }

    /** Handles one connection. */
    private final class Listener implements MessageListener {
        private Optional<Hello> mHello = Optional.empty();

        @Override
        public void onOpen(MessageConnection connection) {
            // The peer speaks first.
        }

        @Override
        public void onMessage(MessageConnection connection, Message message) {
            if (mHello.isEmpty()) {
                accept(connection, message);
                return;
            }
            Hello hello = mHello.get();
            if (hello.role() == ProcessRole.AGENT) {
                mEvents.onAgentMessage(hello, message);
            } else {
                mEvents.onPeerMessage(hello, message);
            }
        }

        @Override
        public void onClose(MessageConnection connection) {
            if (mHello.isEmpty()) {
                return;
            }
            Hello hello = mHello.get();
            Peer peer = new Peer(hello, connection);
            LOG.event("connection_closed")
                    .with("process", hello.process())
                    .with("session", hello.session())
                    .info();
            if (hello.role() == ProcessRole.AGENT) {
                mAgents.remove(hello.process(), peer);
                mEvents.onAgentClosed(hello);
            } else {
                mEntries.remove(hello.process(), peer);
            }
        }

        private void accept(MessageConnection connection, Message message) {
            if (!(message instanceof Hello hello)) {
                refuse(connection, ResultCode.UNKNOWN_MESSAGE, "expected Hello first");
                return;
            }
            if (hello.protocolVersion() != MessageCodec.PROTOCOL_VERSION) {
                refuse(
                        connection,
                        ResultCode.PROTOCOL_VERSION,
                        "expected " + MessageCodec.PROTOCOL_VERSION);
                return;
            }
            mHello = Optional.of(hello);
            LOG.event("connection_opened")
                    .with("process", hello.process())
                    .with("role", hello.role())
                    .with("incarnation", hello.incarnation())
                    .with("session", hello.session())
                    .info();
            // The welcome goes first: the agent fences its older sessions when it reads it.
            connection.send(mWelcome.get());
            Peer peer = new Peer(hello, connection);
            if (hello.role() == ProcessRole.AGENT) {
                replaceAgent(hello, peer);
            } else {
                mEntries.put(hello.process(), peer);
                mEvents.onPeerOpened(hello);
            }
        }

        private void refuse(MessageConnection connection, ResultCode code, String detail) {
            LOG.event("hello_refused")
                    .with("peer", connection.remoteAddress())
                    .with("result", code)
                    .with("detail", detail)
                    .warn();
            connection.sendAndClose(new Failure(code, detail));
        }

        private void replaceAgent(Hello hello, Peer peer) {
            // A delayed hello of an older session must not replace the newer one.
            Peer latest =
                    mAgents.merge(
                            hello.process(),
                            peer,
                            (known, opened) -> {
                                Peer later =
                                        isLater(opened.hello(), known.hello()) ? opened : known;
                                (later.equals(opened) ? known : opened).connection().close();
                                return later;
                            });
            if (latest.equals(peer)) {
                mEvents.onAgentOpened(hello);
            }
        }

        private static boolean isLater(Hello candidate, Hello known) {
            int incarnations = candidate.incarnation().compareTo(known.incarnation());
            return incarnations > 0
                    || (incarnations == 0 && candidate.session().compareTo(known.session()) > 0);
        }
    }
}
