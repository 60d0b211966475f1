package org.hickorycleat.daemon.entry;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.reactivex.rxjava3.core.Scheduler;
import io.reactivex.rxjava3.disposables.CompositeDisposable;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import org.hickorycleat.daemon.logging.EventLog;
import org.hickorycleat.logic.log.ExponentialBackoff;
import org.hickorycleat.logic.log.StreamEvent;
import org.hickorycleat.logic.log.StreamFollower;
import org.hickorycleat.logic.membership.InstanceRegistration;
import org.hickorycleat.logic.membership.InstanceRegistry;
import org.hickorycleat.logic.membership.InstanceRegistry.RegistrationStatus;
import org.hickorycleat.logic.port.AgentLink;
import org.hickorycleat.logic.port.LogRecord;
import org.hickorycleat.logic.port.LogService;
import org.hickorycleat.model.identifier.Incarnation;
import org.hickorycleat.model.identifier.InstanceNumber;
import org.hickorycleat.model.identifier.ProcessId;
import org.hickorycleat.model.identifier.ServiceName;
import org.hickorycleat.model.identifier.StreamName;
import org.hickorycleat.model.message.AgentReport;
import org.hickorycleat.model.message.Hello;
import org.hickorycleat.model.message.RegistrationConfirmation;
import org.hickorycleat.model.message.TargetReport;

/**
 * Registers target instances with their agent and its incarnation in the stream {@code instances},
 * and confirms registrations to agents.
 */
final class InstanceRegistrar implements AutoCloseable {
    private static final EventLog LOG = EventLog.of(InstanceRegistrar.class);
    private static final StreamName STREAM = new StreamName("instances");
    private static final ObjectMapper MAPPER = new ObjectMapper();

    /**
     * Minimum time between attempts; every entry registers each instance, so another entry usually
     * succeeds before a retry.
     */
    private static final long RETRY_INTERVAL_MS = 2_000;

    private final LogService mLog;
    private final AgentLink mAgents;
    private final Scheduler mScheduler;
    private final StreamFollower mFollower;
    private final InstanceRegistry mRegistry = new InstanceRegistry();
    private final Map<InstanceRegistration, Long> mAppendTimesMs = new ConcurrentHashMap<>();
    private final CompositeDisposable mSubscriptions = new CompositeDisposable();

    InstanceRegistrar(LogService log, AgentLink agents, Random random, Scheduler scheduler) {
        mLog = log;
        mAgents = agents;
        mScheduler = scheduler;
        mFollower =
                new StreamFollower(
                        log,
                        STREAM,
                        0,
                        StreamFollower.DEFAULT_WAIT,
                        ExponentialBackoff.DEFAULT,
                        random,
                        scheduler);
    }

    /** Starts reading the stream. */
    void start() {
        mSubscriptions.add(
                mFollower
                        .events()
                        .subscribe(
                                this::onStreamEvent,
                                cause ->
                                        LOG.event("registrar_failed")
                                                .with("cause", cause)
                                                .error()));
    }

    /** Registers the unregistered targets of a report and confirms the registered ones. */
    void onAgentReport(Hello agent, AgentReport report) {
        for (TargetReport target : report.targets()) {
            InstanceRegistration registration =
                    new InstanceRegistration(
                            target.service(),
                            target.instance(),
                            agent.process(),
                            agent.incarnation());
            RegistrationStatus status = mRegistry.registrationStatus(registration);
            if (status == RegistrationStatus.UNREGISTERED) {
                register(registration);
            } else {
                sendConfirmation(agent, target, status);
            }
        }
    }

    @Override
    public void close() {
        mSubscriptions.dispose();
    }

    private void sendConfirmation(Hello agent, TargetReport target, RegistrationStatus status) {
        mAgents.send(
                agent.process(),
                new RegistrationConfirmation(
                        target.service(),
                        target.instance(),
                        status == RegistrationStatus.ORIGINAL));
    }

    private void register(InstanceRegistration registration) {
        long nowMs = mScheduler.now(TimeUnit.MILLISECONDS);
        Long appendedMs = mAppendTimesMs.get(registration);
        if (appendedMs != null && nowMs - appendedMs < RETRY_INTERVAL_MS) {
            return;
        }
        mAppendTimesMs.put(registration, nowMs);
        // A duplicate record has no effect; a lost append is retried at a later report.
        mSubscriptions.add(
                mLog.append(STREAM, encode(registration)).subscribe(offset -> {}, error -> {}));
    }

    private void onStreamEvent(StreamEvent event) {
        if (event instanceof StreamEvent.Truncated) {
            mRegistry.onStreamTruncated();
        } else if (event instanceof StreamEvent.RecordsRead read) {
            read.page().records().forEach(this::apply);
        }
    }

    private void apply(LogRecord record) {
        Optional<InstanceRegistration> registration = decode(record.payload());
        if (registration.isEmpty()) {
            LOG.event("malformed_registration").with("offset", record.offset()).warn();
            return;
        }
        mRegistry.apply(registration.get());
        mAppendTimesMs.remove(registration.get());
    }

    private static byte[] encode(InstanceRegistration registration) {
        ObjectNode node = MAPPER.createObjectNode();
        node.put("service", registration.service().value());
        node.put("instance", registration.instance().value());
        node.put("agent", registration.agent().value());
        node.put("incarnation", registration.incarnation().value());
        return node.toString().getBytes(StandardCharsets.UTF_8);
    }

    private static Optional<InstanceRegistration> decode(byte[] payload) {
        try {
            JsonNode node = MAPPER.readTree(payload);
            return Optional.of(
                    new InstanceRegistration(
                            new ServiceName(node.path("service").asText()),
                            new InstanceNumber(number(node.path("instance"))),
                            new ProcessId(node.path("agent").asText()),
                            new Incarnation(number(node.path("incarnation")))));
        } catch (IOException | IllegalArgumentException e) {
            return Optional.empty();
        }
    }

    private static long number(JsonNode value) {
        if (!value.isIntegralNumber() || !value.canConvertToLong()) {
            throw new IllegalArgumentException("not a number in range");
        }
        return value.longValue();
    }
}
