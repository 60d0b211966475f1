package org.hickorycleat.daemon.agent;

import io.javalin.config.JavalinConfig;
import io.javalin.http.Context;
import io.micrometer.core.instrument.Gauge;
import io.micrometer.prometheusmetrics.PrometheusConfig;
import io.micrometer.prometheusmetrics.PrometheusMeterRegistry;
import io.reactivex.rxjava3.core.Scheduler;
import io.reactivex.rxjava3.disposables.CompositeDisposable;
import io.vavr.control.Either;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import okhttp3.HttpUrl;
import org.hickorycleat.daemon.Lifecycle;
import org.hickorycleat.daemon.http.AdminHttpServer;
import org.hickorycleat.daemon.http.AdminOperations;
import org.hickorycleat.daemon.http.AdminTaskStatus;
import org.hickorycleat.daemon.http.ProcessStatus;
import org.hickorycleat.daemon.logging.EventLog;
import org.hickorycleat.daemon.settings.AgentSettings;
import org.hickorycleat.daemon.settings.DaemonSettings;
import org.hickorycleat.daemon.transport.MessageTransport;
import org.hickorycleat.daemon.transport.TransportMetrics;
import org.hickorycleat.logic.configuration.ConfigurationHolder;
import org.hickorycleat.logic.invocation.InvocationService;
import org.hickorycleat.logic.invocation.KeyValidity;
import org.hickorycleat.model.identifier.Incarnation;

/** A daemon process in the agent role. */
public final class AgentProcess implements AdminOperations, Lifecycle {
    private static final EventLog LOG = EventLog.of(AgentProcess.class);
    private static final int EVENT_LOOPS = 1;
    private static final long REPORT_INTERVAL_MS = 1_000;
    private static final int BAD_REQUEST = 400;

    private final DaemonSettings mSettings;
    private final AgentSettings mAgentSettings;
    private final Incarnation mIncarnation;
    private final Scheduler mScheduler;
    private final PrometheusMeterRegistry mMeters =
            new PrometheusMeterRegistry(PrometheusConfig.DEFAULT);
    private final MessageTransport mTransport;
    private final ConfigurationHolder mConfiguration = new ConfigurationHolder();
    private final HttpTargetClient mTargetClient;
    private final InvocationService mInvocations;
    private final AnnouncedTargets mTargets;
    private final EntrySessions mEntrySessions;
    private final AdminHttpServer mAdminServer;
    private final CompositeDisposable mSubscriptions = new CompositeDisposable();
    private final Optional<WorkerLeases> mWorkerLeases;
    private final long mStartedMs;
    private volatile boolean mDraining;

    /** Creates the process. */
    public AgentProcess(
            DaemonSettings settings,
            AgentSettings agentSettings,
            Incarnation incarnation,
            Scheduler scheduler) {
        mSettings = settings;
        mAgentSettings = agentSettings;
        mIncarnation = incarnation;
        mScheduler = scheduler;
        mStartedMs = scheduler.now(TimeUnit.MILLISECONDS);
        mTransport = new MessageTransport(EVENT_LOOPS, new TransportMetrics(mMeters));
        mTargetClient = new HttpTargetClient(service -> targets().address(service));
        mInvocations =
                InvocationService.builder(mTargetClient, scheduler)
                        .keyValidity(KeyValidity.of(agentSettings.keyValidity()))
                        .build();
        mTargets = new AnnouncedTargets(mInvocations, scheduler);
        mWorkerLeases =
                agentSettings
                        .worker()
                        .map(address -> newWorkerLeases(address, incarnation, scheduler));
        mEntrySessions =
                new EntrySessions(
                        settings,
                        agentSettings,
                        incarnation,
                        mTransport,
                        scheduler,
                        mInvocations,
                        mConfiguration,
                        mTargets,
                        mWorkerLeases);
        mAdminServer = new AdminHttpServer(this, mMeters, this::addRoutes);
        Gauge.builder("hickorycleat.invocations.in.progress", mInvocations::inProgress)
                .register(mMeters);
        Gauge.builder("hickorycleat.invocations.fenced", mInvocations::fencedInvokes)
                .register(mMeters);
    }

    @Override
    public void start() {
        mSubscriptions.add(
                mConfiguration
                        .changes()
                        .subscribe(
                                current -> mTargets.configure(current.configuration().manifest()),
                                cause ->
                                        LOG.event("configuration_failed")
                                                .with("cause", cause)
                                                .error()));
        mAdminServer.start(mSettings.adminListen());
        mEntrySessions.add(mAgentSettings.entries());
        mWorkerLeases.ifPresent(WorkerLeases::start);
        mSubscriptions.add(
                mScheduler.schedulePeriodicallyDirect(
                        mEntrySessions::report,
                        REPORT_INTERVAL_MS,
                        REPORT_INTERVAL_MS,
                        TimeUnit.MILLISECONDS));
        LOG.event("started")
                .with("process", mSettings.process())
                .with("role", "agent")
                .with("zone", mSettings.zone())
                .with("incarnation", mIncarnation)
                .info();
    }

    @Override
    public void drain() {
        if (mDraining) {
            return;
        }
        mDraining = true;
        mTargets.startDrain();
        mEntrySessions.report();
        LOG.event("draining").with("in_progress", mInvocations.inProgress()).info();
    }

    @Override
    public boolean isDraining() {
        return mDraining;
    }

    @Override
    public boolean isIdle() {
        return mInvocations.inProgress() == 0;
    }

    @Override
    public Duration drainTimeout() {
        return mSettings.drainLimit();
    }

    @Override
    public void close() {
        mSubscriptions.dispose();
        mEntrySessions.close();
        mTransport.close();
        mTargetClient.close();
        mWorkerLeases.ifPresent(WorkerLeases::close);
        mAdminServer.close();
        LOG.event("stopped").with("process", mSettings.process()).info();
    }

    @Override
    public ProcessStatus status() {
        return new ProcessStatus(
                mSettings.process().value(),
                "agent",
                mSettings.zone().value(),
                mIncarnation.value(),
                mScheduler.now(TimeUnit.MILLISECONDS) - mStartedMs,
                state(),
                String.join("; ", notReadyReasons()),
                configurationStatus(),
                new ProcessStatus.Log(false, "agents do not read the log"),
                mInvocations.inProgress(),
                mTargets.statuses(),
                List.of(),
                mEntrySessions.links());
    }

    @Override
    public Object dump() {
        return new AgentDump(
                status(),
                mEntrySessions.sessions(),
                mTargets.reports(),
                mInvocations.fencedInvokes(),
                mWorkerLeases.flatMap(WorkerLeases::summary),
                mWorkerLeases.map(WorkerLeases::counts));
    }

    @Override
    public List<AdminTaskStatus> jobs() {
        return List.of();
    }

    @Override
    public Optional<AdminTaskStatus> explain(String task) {
        return Optional.empty();
    }

    @Override
    public List<String> notReadyReasons() {
        if (mDraining) {
            return List.of("draining");
        }
        return mEntrySessions.sessions().isEmpty() ? List.of("no entry is connected") : List.of();
    }

    private String state() {
        if (mDraining) {
            return "draining";
        }
        return notReadyReasons().isEmpty() ? "serving" : "waiting";
    }

    private ProcessStatus.Configuration configurationStatus() {
        return new ProcessStatus.Configuration(
                mConfiguration.version().value(),
                mConfiguration.current().map(current -> current.source().label()).orElse("none"),
                false);
    }

    private AnnouncedTargets targets() {
        return mTargets;
    }

    private WorkerLeases newWorkerLeases(
            String address, Incarnation incarnation, Scheduler scheduler) {
        return new WorkerLeases(
                HttpUrl.get(address),
                incarnation,
                scheduler,
                () -> mEntrySessions,
                this::sendReport);
    }

    private void sendReport() {
        mEntrySessions.report();
    }

    private void addRoutes(JavalinConfig configuration) {
        configuration.routes.put("/v1/announcement", this::handleAnnouncement);
    }

    private void handleAnnouncement(Context context) {
        Either<List<String>, Announcement> parsed = AnnouncementParser.parse(context.bodyAsBytes());
        if (parsed.isLeft()) {
            context.status(BAD_REQUEST).result(String.join("; ", parsed.getLeft()));
            return;
        }
        if (mTargets.updateTarget(parsed.get())) {
            mEntrySessions.report();
        }
        context.result("{}");
    }
}
