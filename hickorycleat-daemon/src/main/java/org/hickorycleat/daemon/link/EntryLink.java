package org.hickorycleat.daemon.link;

import io.reactivex.rxjava3.core.Scheduler;
import java.net.InetSocketAddress;
import java.util.Optional;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import org.hickorycleat.daemon.logging.EventLog;
import org.hickorycleat.daemon.transport.MessageConnection;
import org.hickorycleat.daemon.transport.MessageListener;
import org.hickorycleat.daemon.transport.MessageTransport;
import org.hickorycleat.model.identifier.SessionNumber;
import org.hickorycleat.model.message.Failure;
import org.hickorycleat.model.message.Message;
import org.hickorycleat.model.message.Welcome;

/** Keeps one connection to one entry open, and opens a new session after each reconnect. */
final class EntryLink {
    private static final EventLog LOG = EventLog.of(EntryLink.class);

    /** Delay between attempts to connect: 100 ms, doubled up to 1 s, each with jitter. */
    private static final long INITIAL_RECONNECT_DELAY_MS = 100;

    private static final long MAXIMUM_RECONNECT_DELAY_MS = 1_000;

    private final InetSocketAddress mAddress;
    private final MessageTransport mTransport;
    private final Scheduler mScheduler;
    private final EntryLinkHandler mHandler;
    // Written only by the event loop of the current connection.
    private volatile Optional<EntrySession> mSession = Optional.empty();
    private volatile long mDisconnectedSinceMs;
    private volatile long mReconnectDelayMs = INITIAL_RECONNECT_DELAY_MS;
    private volatile boolean mClosed;

    EntryLink(
            InetSocketAddress address,
            MessageTransport transport,
            Scheduler scheduler,
            EntryLinkHandler handler) {
        mAddress = address;
        mTransport = transport;
        mScheduler = scheduler;
        mHandler = handler;
        mDisconnectedSinceMs = scheduler.now(TimeUnit.MILLISECONDS);
    }

    /** Connects to the entry, and reconnects whenever the connection is lost. */
    void connect() {
        if (!mClosed) {
            mTransport.connect(mAddress, new ConnectionListener(), cause -> scheduleReconnect());
        }
    }

    /** Closes the link permanently. */
    void close() {
        mClosed = true;
        session().ifPresent(session -> session.connection().close());
    }

    /** Returns the session; empty until the entry has sent its welcome. */
    Optional<EntrySession> session() {
        return mSession;
    }

    /** Returns whether there has been no session for the given time, in milliseconds. */
    boolean isDisconnectedFor(long durationMs) {
        return session().isEmpty()
                && mScheduler.now(TimeUnit.MILLISECONDS) - mDisconnectedSinceMs >= durationMs;
    }

    private void scheduleReconnect() {
        long delayMs =
                mReconnectDelayMs / 2 + ThreadLocalRandom.current().nextLong(mReconnectDelayMs);
        mReconnectDelayMs = Math.min(MAXIMUM_RECONNECT_DELAY_MS, mReconnectDelayMs * 2);
        var unused = mScheduler.scheduleDirect(this::connect, delayMs, TimeUnit.MILLISECONDS);
    }

    /** Handles the events of one connection. */
    private final class ConnectionListener implements MessageListener {
        private final SessionNumber mSessionNumber = mHandler.nextSessionNumber();

        @Override
        public void onOpen(MessageConnection connection) {
            connection.send(mHandler.hello(mSessionNumber));
        }

        @Override
        public void onMessage(MessageConnection connection, Message message) {
            if (message instanceof Welcome welcome) {
                onWelcome(connection, welcome);
                return;
            }
            if (message instanceof Failure failure) {
                LOG.event("entry_reported_failure")
                        .with("entry", mAddress)
                        .with("result", failure.code())
                        .with("detail", failure.detail())
                        .warn();
                return;
            }
            session().ifPresent(session -> mHandler.onMessage(session, message));
        }

        @Override
        public void onClose(MessageConnection connection) {
            Optional<EntrySession> closedSession = mSession;
            mSession = Optional.empty();
            mDisconnectedSinceMs = mScheduler.now(TimeUnit.MILLISECONDS);
            closedSession.ifPresent(mHandler::onSessionClosed);
            scheduleReconnect();
        }

        private void onWelcome(MessageConnection connection, Welcome welcome) {
            if (session().isPresent()) {
                // The entry reports that its list of entries has changed.
                mHandler.onEntriesDiscovered(welcome.entries());
                return;
            }
            EntrySession session =
                    new EntrySession(
                            welcome.process(), welcome.incarnation(), mSessionNumber, connection);
            if (!mHandler.acceptWelcome(session, welcome)) {
                mClosed = true;
                connection.close();
                return;
            }
            mReconnectDelayMs = INITIAL_RECONNECT_DELAY_MS;
            mSession = Optional.of(session);
            mHandler.onSessionOpened(session);
        }
    }
}
