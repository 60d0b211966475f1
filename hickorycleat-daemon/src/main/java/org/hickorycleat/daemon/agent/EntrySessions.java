package org.hickorycleat.daemon.agent;

import io.reactivex.rxjava3.core.Scheduler;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import org.hickorycleat.daemon.http.ProcessStatus;
import org.hickorycleat.daemon.link.EntryLinkHandler;
import org.hickorycleat.daemon.link.EntryLinks;
import org.hickorycleat.daemon.link.EntrySession;
import org.hickorycleat.daemon.settings.AgentSettings;
import org.hickorycleat.daemon.settings.DaemonSettings;
import org.hickorycleat.daemon.transport.MessageCodec;
import org.hickorycleat.daemon.transport.MessageTransport;
import org.hickorycleat.logic.configuration.ConfigurationHolder;
import org.hickorycleat.logic.configuration.ConfigurationSource;
import org.hickorycleat.logic.invocation.InvocationService;
import org.hickorycleat.model.identifier.Incarnation;
import org.hickorycleat.model.identifier.ProcessId;
import org.hickorycleat.model.identifier.SessionNumber;
import org.hickorycleat.model.message.AgentReport;
import org.hickorycleat.model.message.Cancel;
import org.hickorycleat.model.message.ConfigurationUpdate;
import org.hickorycleat.model.message.EntryAddress;
import org.hickorycleat.model.message.Hello;
import org.hickorycleat.model.message.Invoke;
import org.hickorycleat.model.message.InvokeResult;
import org.hickorycleat.model.message.Message;
import org.hickorycleat.model.message.ProcessRole;
import org.hickorycleat.model.message.RegistrationConfirmation;
import org.hickorycleat.model.message.Welcome;

/** Sessions of an agent with entries: sends reports and handles the messages of entries. */
final class EntrySessions implements EntryLinkHandler {
    private final DaemonSettings mSettings;
    private final Incarnation mIncarnation;
    private final Scheduler mScheduler;
    private final InvocationService mInvocations;
    private final ConfigurationHolder mConfiguration;
    private final AnnouncedTargets mTargets;
    private final Optional<WorkerLeases> mWorkerLeases;
    private final EntryLinks mLinks;
    private final AtomicLong mSessions = new AtomicLong();
    private final long mStartedMs;

    EntrySessions(
            DaemonSettings settings,
            AgentSettings agentSettings,
            Incarnation incarnation,
            MessageTransport transport,
            Scheduler scheduler,
            InvocationService invocations,
            ConfigurationHolder configuration,
            AnnouncedTargets targets,
            Optional<WorkerLeases> workerLeases) {
        mSettings = settings;
        mIncarnation = incarnation;
        mScheduler = scheduler;
        mInvocations = invocations;
        mConfiguration = configuration;
        mTargets = targets;
        mWorkerLeases = workerLeases;
        mLinks = new EntryLinks(transport, scheduler, this, agentSettings.maximumLinks());
        mStartedMs = scheduler.now(TimeUnit.MILLISECONDS);
    }

    /** State of a session for the dump. */
    record SessionState(ProcessId entry, Incarnation incarnation, SessionNumber session) {}

    /** Opens links to the configured addresses. */
    void add(List<InetSocketAddress> addresses) {
        mLinks.add(addresses);
    }

    /** Sends a report to every entry. */
    void report() {
        mLinks.broadcast(newReport());
    }

    /** Sends a message to one entry; discards it if there is no session. */
    void send(ProcessId entry, Message message) {
        mLinks.sessions().stream()
                .filter(session -> session.entry().equals(entry))
                .forEach(session -> session.connection().send(message));
    }

    /** Returns the sessions for the process status. */
    List<ProcessStatus.Link> links() {
        return mLinks.sessions().stream()
                .map(session -> new ProcessStatus.Link(session.entry().value(), "entry", ""))
                .toList();
    }

    /** Returns the open sessions. */
    List<SessionState> sessions() {
        return mLinks.sessions().stream()
                .map(
                        session ->
                                new SessionState(
                                        session.entry(), session.incarnation(), session.number()))
                .toList();
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
                mSettings.process(),
                ProcessRole.AGENT,
                mIncarnation,
                session,
                mSettings.zone(),
                Optional.empty());
    }

    @Override
    public boolean acceptWelcome(EntrySession session, Welcome welcome) {
        if (mLinks.hasSessionWith(session.entry(), session)) {
            return false;
        }
        mInvocations.openSession(session.entry(), session.incarnation(), session.number());
        return true;
    }

    @Override
    public void onSessionOpened(EntrySession session) {
        session.connection().send(newReport());
        mConfiguration
                .current()
                .ifPresent(
                        current ->
                                session.connection()
                                        .send(
                                                new ConfigurationUpdate(
                                                        current.version(),
                                                        current.configuration().bytes())));
    }

    @Override
    public void onMessage(EntrySession session, Message message) {
        if (message instanceof Invoke invoke) {
            mInvocations.invoke(
                    session.entry(),
                    session.number(),
                    invoke,
                    result -> sendOrClose(session, result));
            mInvocations.acknowledge(
                    session.entry(), session.incarnation(), invoke.acknowledgedBelow());
        } else if (message instanceof Cancel cancel) {
            sendOrClose(
                    session,
                    mInvocations.cancel(cancel.request(), result -> sendOrClose(session, result)));
        } else if (message instanceof ConfigurationUpdate update) {
            mConfiguration.updateIfNewer(update, ConfigurationSource.ENTRY);
        } else if (message instanceof RegistrationConfirmation confirmation) {
            mTargets.onInstanceRegistered(confirmation);
        } else {
            mWorkerLeases.ifPresent(leases -> leases.onMessage(session.entry(), message));
        }
    }

    @Override
    public void onSessionClosed(EntrySession session) {
        // Requests in progress continue; the entry asks for their outcome on its next session.
        mWorkerLeases.ifPresent(leases -> leases.onEntryDisconnected(session.entry()));
    }

    @Override
    public void onEntriesDiscovered(List<EntryAddress> entries) {
        mLinks.addDiscovered(entries);
    }

    private static void sendOrClose(EntrySession session, Message message) {
        boolean sent = session.connection().send(message);
        if (!sent && message instanceof InvokeResult) {
            // The entry asks for the outcome on the next session.
            session.connection().close();
        }
    }

    private AgentReport newReport() {
        return new AgentReport(
                mScheduler.now(TimeUnit.MILLISECONDS) - mStartedMs,
                mConfiguration.version(),
                mTargets.reports(),
                mWorkerLeases.flatMap(WorkerLeases::summary));
    }
}
