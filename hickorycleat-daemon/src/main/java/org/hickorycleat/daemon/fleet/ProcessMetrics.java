package org.hickorycleat.daemon.fleet;

import io.micrometer.core.instrument.FunctionCounter;
import io.micrometer.core.instrument.Gauge;
import io.micrometer.core.instrument.MeterRegistry;
import io.micrometer.core.instrument.Timer;
import io.micrometer.prometheusmetrics.PrometheusConfig;
import io.micrometer.prometheusmetrics.PrometheusMeterRegistry;
import io.reactivex.rxjava3.core.Single;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.LongAdder;
import java.util.function.Supplier;
import org.hickorycleat.daemon.logging.EventLog;
import org.hickorycleat.daemon.transport.TransportMetrics;
import org.hickorycleat.logic.port.DecisionLog;
import org.hickorycleat.logic.port.HttpRequest;
import org.hickorycleat.logic.port.HttpResponse;

/**
 * Counts decisions by event and times responses to callers; serves both in Prometheus format.
 *
 * <p>The registry is created when it is first needed, since that takes a twentieth of the start of
 * a process, and most agents are never asked for their metrics.
 */
final class ProcessMetrics {
    private static final String PATH = "/metrics";

    private final TransportMetrics mTransportMetrics = new TransportMetrics();
    private final Map<String, LongAdder> mDecisions = new ConcurrentHashMap<>();
    private final LongAdder mCopies = new LongAdder();
    private final LongAdder mCopyBytes = new LongAdder();
    private Optional<PrometheusMeterRegistry> mRegistry = Optional.empty();
    private Optional<Timer> mResponseTimes = Optional.empty();

    /** Returns the counters of the messages of this process. */
    TransportMetrics transportMetrics() {
        return mTransportMetrics;
    }

    private synchronized PrometheusMeterRegistry registry() {
        PrometheusMeterRegistry registry =
                mRegistry.orElseGet(() -> new PrometheusMeterRegistry(PrometheusConfig.DEFAULT));
        if (mRegistry.isEmpty()) {
            mRegistry = Optional.of(registry);
            mTransportMetrics.bindTo(registry);
            registerCount(registry, "hickorycleat.configuration.copies.sent", mCopies);
            registerCount(registry, "hickorycleat.configuration.copies.sent.bytes", mCopyBytes);
        }
        return registry;
    }

    private static void registerCount(
            MeterRegistry registry, String name, LongAdder count, String... tags) {
        FunctionCounter.builder(name, count, LongAdder::sum).tags(tags).register(registry);
    }

    /** Returns a decision log that writes a line for each decision and counts it by event. */
    DecisionLog decisionLog(Class<?> type) {
        EventLog log = EventLog.of(type);
        return (event, pairs) -> {
            mDecisions.computeIfAbsent(event, name -> new LongAdder()).increment();
            log.record(event, pairs);
        };
    }

    /** Prepares the times of responses to callers, so that no caller waits for it. */
    synchronized void registerResponseTimes() {
        if (mResponseTimes.isEmpty()) {
            mResponseTimes = Optional.of(createResponseTimes(registry()));
        }
    }

    private static Timer createResponseTimes(MeterRegistry registry) {
        return Timer.builder("hickorycleat.caller.answers")
                .description("time from a whole request of a caller to its answer")
                .serviceLevelObjectives(
                        Duration.ofMillis(10),
                        Duration.ofMillis(30),
                        Duration.ofMillis(100),
                        Duration.ofMillis(300),
                        Duration.ofSeconds(1),
                        Duration.ofSeconds(3))
                .register(registry);
    }

    /** Registers a value that is read when the metrics are requested. */
    void registerGauge(String name, Supplier<Number> value) {
        Gauge.builder(name, value).register(registry());
    }

    /** Records the time of a response to a caller, in nanoseconds. */
    synchronized void recordResponseTime(long nanoseconds) {
        registerResponseTimes();
        mResponseTimes.ifPresent(times -> times.record(nanoseconds, TimeUnit.NANOSECONDS));
    }

    /** Counts a copy of the configuration that was sent to a peer, and its size in bytes. */
    void recordConfigurationCopy(int bytes) {
        mCopies.increment();
        mCopyBytes.add(bytes);
    }

    /** Returns the metrics, or status 404 for any other path. */
    Single<HttpResponse> serve(HttpRequest request) {
        if (!request.path().equals(PATH)) {
            return Single.just(HttpResponse.of(404, new byte[0]));
        }
        PrometheusMeterRegistry registry = registry();
        // A counter that is registered already is kept.
        mDecisions.forEach(
                (event, count) ->
                        registerCount(registry, "hickorycleat.decisions", count, "event", event));
        return Single.just(
                new HttpResponse(
                        200,
                        Map.of("content-type", "text/plain; version=0.0.4"),
                        registry.scrape().getBytes(StandardCharsets.UTF_8)));
    }
}
