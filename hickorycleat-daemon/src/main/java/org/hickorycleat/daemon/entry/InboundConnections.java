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

/** Connections that agents and other entries opened to this entry. */
final class InboundConnections implements AgentLink {
    private static final EventLog LOG = EventLog.of(InboundConnections.class);

    private final Supplier<Welcome> mWelcomeSupplier;
    private final InboundConnectionListener mListener;
    private final Map<ProcessId, ConnectedProcess> mAgents = new ConcurrentHashMap<>();
    private final Map<ProcessId, ConnectedProcess> mEntries = new ConcurrentHashMap<>();
    private volatile Optional<Welcome> mLastWelcome = Optional.empty();

    InboundConnections(Supplier<Welcome> welcome, InboundConnectionListener listener) {
        mWelcomeSupplier = welcome;
        mListener = listener;
    }

    /** A connected process and its connection. */
    private record ConnectedProcess(Hello hello, MessageConnection connection) {}

    /** Creates the listener of a new connection. */
    MessageListener newListener() {
        return new Listener();
    }

    @Override
    public boolean send(ProcessId agent, Message message) {
        ConnectedProcess connected = mAgents.get(agent);
        return connected != null && connected.connection().send(message);
    }

    /**
     * Sends every connected process the list of entries if it changed, or an empty list otherwise.
     *
     * <p>The message doubles as a heartbeat, because idle connections are closed. Sending the whole
     * list each second would use most of the overhead budget of the control plane on a node.
     */
    void sendWelcomes() {
        Welcome welcome = mWelcomeSupplier.get();
        boolean changed = !Optional.of(welcome).equals(mLastWelcome);
        mLastWelcome = Optional.of(welcome);
        Message message = changed ? welcome : withoutEntries(welcome);
        mAgents.values().forEach(connected -> connected.connection().send(message));
        mEntries.values().forEach(connected -> connected.connection().send(message));
    }

    private static Welcome withoutEntries(Welcome welcome) {
        return new Welcome(welcome.process(), welcome.incarnation(), welcome.zone(), List.of());
    }

    /** Returns the connections for the process status. */
    List<ProcessStatus.Link> links() {
        return Stream.concat(mAgents.values().stream(), mEntries.values().stream())
                .map(ConnectedProcess::hello)
                .map(InboundConnections::link)
                .toList();
    }

    /** Returns the connected agents. */
    List<Hello> agents() {
        return mAgents.values().stream().map(ConnectedProcess::hello).toList();
    }

    private static ProcessStatus.Link link(Hello hello) {
        return new ProcessStatus.Link(
                hello.process().value(),
                hello.role().name().toLowerCase(Locale.ROOT),
                hello.zone().value());
    }

    /** Handles the messages of one connection. */
    private final class Listener implements MessageListener {
        private Optional<Hello> mHello = Optional.empty();

        @Override
        public void onOpen(MessageConnection connection) {
            // The remote process sends the first message, Hello.
        }

        @Override
        public void onMessage(MessageConnection connection, Message message) {
            if (mHello.isEmpty()) {
                accept(connection, message);
                return;
            }
            Hello hello = mHello.get();
            if (hello.role() == ProcessRole.AGENT) {
                mListener.onAgentMessage(hello, message);
            } else {
                mListener.onPeerMessage(hello, message);
            }
        }

        @Override
        public void onClose(MessageConnection connection) {
            if (mHello.isEmpty()) {
                return;
            }
            Hello hello = mHello.get();
            ConnectedProcess connected = new ConnectedProcess(hello, connection);
            LOG.event("connection_closed")
                    .with("process", hello.process())
                    .with("session", hello.session())
                    .info();
            if (hello.role() == ProcessRole.AGENT) {
                mAgents.remove(hello.process(), connected);
                mListener.onAgentClosed(hello);
            } else {
                mEntries.remove(hello.process(), connected);
            }
        }

        private void accept(MessageConnection connection, Message message) {
            if (!(message instanceof Hello hello)) {
                reject(connection, ResultCode.UNKNOWN_MESSAGE, "expected Hello first");
                return;
            }
            if (hello.protocolVersion() != MessageCodec.PROTOCOL_VERSION) {
                reject(
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
            // Welcome must precede other messages: the agent fences its previous sessions on
            // receipt.
            connection.send(mWelcomeSupplier.get());
            ConnectedProcess connected = new ConnectedProcess(hello, connection);
            if (hello.role() == ProcessRole.AGENT) {
                replaceAgent(hello, connected);
            } else {
                mEntries.put(hello.process(), connected);
                mListener.onPeerOpened(hello);
            }
        }

        private void reject(MessageConnection connection, ResultCode code, String detail) {
            LOG.event("hello_refused")
                    .with("peer", connection.remoteAddress())
                    .with("result", code)
                    .with("detail", detail)
                    .warn();
            connection.sendAndClose(new Failure(code, detail));
        }

        private void replaceAgent(Hello hello, ConnectedProcess connected) {
            // A delayed Hello of an older session must not replace a newer session.
            ConnectedProcess latest =
                    mAgents.merge(
                            hello.process(),
                            connected,
                            (existing, candidate) -> {
                                ConnectedProcess later =
                                        isLater(candidate.hello(), existing.hello())
                                                ? candidate
                                                : existing;
                                (later.equals(candidate) ? existing : candidate)
                                        .connection()
                                        .close();
                                return later;
                            });
            if (latest.equals(connected)) {
                mListener.onAgentOpened(hello);
            }
        }

        private static boolean isLater(Hello candidate, Hello existing) {
            int incarnationOrder = candidate.incarnation().compareTo(existing.incarnation());
            return incarnationOrder > 0
                    || (incarnationOrder == 0
                            && candidate.session().compareTo(existing.session()) > 0);
        }
    }
}
