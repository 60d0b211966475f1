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

/** Keeps one connection to one entry open, with a session of its own after each reconnect. */
final class EntryLink {
    private static final EventLog LOG = EventLog.of(EntryLink.class);

    /** Delays between attempts to connect: 100 ms, doubled up to 1 s, each with jitter. */
    private static final long FIRST_DELAY_MS = 100;

    private static final long HIGHEST_DELAY_MS = 1_000;

    private final InetSocketAddress mAddress;
    private final MessageTransport mTransport;
    private final Scheduler mScheduler;
    private final EntryLinkHandler mOwner;
    // Written by the event loop of the current connection only.
    private volatile Optional<EntrySession> mSession = Optional.empty();
    private volatile long mDownSinceMs;
    private volatile long mDelayMs = FIRST_DELAY_MS;
    private volatile boolean mClosed;

    EntryLink(
            InetSocketAddress address,
            MessageTransport transport,
            Scheduler scheduler,
            EntryLinkHandler owner) {
        mAddress = address;
        mTransport = transport;
        mScheduler = scheduler;
        mOwner = owner;
        mDownSinceMs = scheduler.now(TimeUnit.MILLISECONDS);
    }

    /** Starts to connect, and connects again whenever the connection is lost. */
    void connect() {
        if (!mClosed) {
            mTransport.connect(mAddress, new Listener(), cause -> connectLater());
        }
    }

    /** Closes for good. */
    void close() {
        mClosed = true;
        session().ifPresent(session -> session.connection().close());
    }

    /** Returns the session, once the entry has sent its welcome. */
    Optional<EntrySession> session() {
        return mSession;
    }

    /** Tells whether there has been no session for the given time. */
    boolean isDownFor(long durationMs) {
        return session().isEmpty()
                && mScheduler.now(TimeUnit.MILLISECONDS) - mDownSinceMs >= durationMs;
    }

    private void connectLater() {
        long delay = mDelayMs / 2 + ThreadLocalRandom.current().nextLong(mDelayMs);
        mDelayMs = Math.min(HIGHEST_DELAY_MS, mDelayMs * 2);
        var unused = mScheduler.scheduleDirect(this::connect, delay, TimeUnit.MILLISECONDS);
    }

    /** Handles one connection. */
    private final class Listener implements MessageListener {
        private final SessionNumber mNumber = mOwner.nextSessionNumber();

        @Override
        public void onOpen(MessageConnection connection) {
            connection.send(mOwner.hello(mNumber));
        }

        @Override
        public void onMessage(MessageConnection connection, Message message) {
            if (message instanceof Welcome welcome) {
                welcome(connection, welcome);
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
            session().ifPresent(session -> mOwner.onMessage(session, message));
        }

        @Override
        public void onClose(MessageConnection connection) {
            Optional<EntrySession> lost = mSession;
            mSession = Optional.empty();
            mDownSinceMs = mScheduler.now(TimeUnit.MILLISECONDS);
            lost.ifPresent(mOwner::onSessionClosed);
            connectLater();
        }

        private void welcome(MessageConnection connection, Welcome welcome) {
            if (session().isPresent()) {
                // The list of entries changed.
                mOwner.onEntriesDiscovered(welcome.entries());
                return;
            }
            EntrySession session =
                    new EntrySession(welcome.process(), welcome.incarnation(), mNumber, connection);
            if (!mOwner.acceptWelcome(session, welcome)) {
                mClosed = true;
                connection.close();
                return;
            }
            mDelayMs = FIRST_DELAY_MS;
            mSession = Optional.of(session);
            mOwner.onSessionOpened(session);
        }
    }
}
