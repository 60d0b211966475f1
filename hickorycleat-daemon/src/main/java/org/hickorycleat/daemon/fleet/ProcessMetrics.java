package org.hickorycleat.daemon.fleet;

import io.micrometer.core.instrument.Timer;
import io.micrometer.prometheusmetrics.PrometheusConfig;
import io.micrometer.prometheusmetrics.PrometheusMeterRegistry;
import io.reactivex.rxjava3.core.Single;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Map;
import org.hickorycleat.daemon.logging.EventLog;
import org.hickorycleat.logic.port.DecisionLog;
import org.hickorycleat.logic.port.HttpRequest;
import org.hickorycleat.logic.port.HttpResponse;

/** Counts decisions by event and times responses to callers; serves both in Prometheus format. */
final class ProcessMetrics {
    private static final String PATH = "/metrics";

    private final PrometheusMeterRegistry mRegistry =
            new PrometheusMeterRegistry(PrometheusConfig.DEFAULT);
    private final Timer mResponseTimes =
            Timer.builder("hickorycleat.caller.answers")
                    .description("time from a whole request of a caller to its answer")
                    .serviceLevelObjectives(
                            Duration.ofMillis(10),
                            Duration.ofMillis(30),
                            Duration.ofMillis(100),
                            Duration.ofMillis(300),
                            Duration.ofSeconds(1),
                            Duration.ofSeconds(3))
                    .register(mRegistry);

    PrometheusMeterRegistry registry() {
        return mRegistry;
    }

    /** Returns a decision log that writes a line for each decision and counts it by event. */
    DecisionLog decisionLog(Class<?> type) {
        EventLog log = EventLog.of(type);
        return (event, pairs) -> {
            mRegistry.counter("hickorycleat.decisions", "event", event).increment();
            log.record(event, pairs);
        };
    }

    /** Records the time of a response to a caller, in nanoseconds. */
    void recordResponseTime(long nanoseconds) {
        mResponseTimes.record(Duration.ofNanos(nanoseconds));
    }

    /** Counts a copy of the configuration that was sent to a peer, and its size in bytes. */
    void recordConfigurationCopy(int bytes) {
        mRegistry.counter("hickorycleat.configuration.copies.sent").increment();
        mRegistry.counter("hickorycleat.configuration.copies.sent.bytes").increment(bytes);
    }

    /** Returns the metrics, or status 404 for any other path. */
    Single<HttpResponse> serve(HttpRequest request) {
        if (!request.path().equals(PATH)) {
            return Single.just(HttpResponse.of(404, new byte[0]));
        }
        return Single.just(
                new HttpResponse(
                        200,
                        Map.of("content-type", "text/plain; version=0.0.4"),
                        mRegistry.scrape().getBytes(StandardCharsets.UTF_8)));
    }
}
