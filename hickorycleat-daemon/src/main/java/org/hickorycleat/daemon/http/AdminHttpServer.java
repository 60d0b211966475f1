package org.hickorycleat.daemon.http;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.javalin.Javalin;
import io.javalin.config.JavalinConfig;
import io.javalin.http.Context;
import io.micrometer.prometheusmetrics.PrometheusMeterRegistry;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import org.eclipse.jetty.util.thread.QueuedThreadPool;
import org.hickorycleat.model.result.ResultCode;

/**
 * Admin HTTP server of a process: health, readiness, metrics, status, dump, jobs, task explanations
 * and drain.
 */
public final class AdminHttpServer implements AutoCloseable {
    /**
     * Jetty uses some of these threads itself, for its acceptor, its selector and its reserved
     * threads.
     */
    private static final int MAXIMUM_THREADS = 8;

    private static final int SERVICE_UNAVAILABLE = 503;
    private static final int ACCEPTED = 202;

    private final AdminOperations mOperations;
    private final PrometheusMeterRegistry mMeters;
    private final ObjectMapper mMapper = AdminJsonMapper.create();
    private final Javalin mServer;

    /** Creates the server; {@code routes} adds the routes of the process role. */
    public AdminHttpServer(
            AdminOperations operations,
            PrometheusMeterRegistry meters,
            Consumer<JavalinConfig> routes) {
        mOperations = operations;
        mMeters = meters;
        mServer = Javalin.create(configuration -> configure(configuration, routes));
    }

    /** Starts listening. */
    public void start(InetSocketAddress address) {
        mServer.start(address.getHostString(), address.getPort());
    }

    @Override
    public void close() {
        mServer.stop();
    }

    private void configure(JavalinConfig configuration, Consumer<JavalinConfig> routes) {
        configuration.startup.showJavalinBanner = false;
        configuration.jetty.threadPool = new QueuedThreadPool(MAXIMUM_THREADS, 2);
        configuration.routes.get("/health", context -> context.result("ok"));
        configuration.routes.get("/ready", this::ready);
        configuration.routes.get("/metrics", context -> context.result(mMeters.scrape()));
        configuration.routes.get(
                "/admin/status", context -> writeJson(context, mOperations.status()));
        configuration.routes.get("/admin/dump", context -> writeJson(context, mOperations.dump()));
        configuration.routes.get(
                "/admin/jobs", context -> writeJson(context, Map.of("jobs", mOperations.jobs())));
        configuration.routes.get("/admin/explain/{task}", this::explain);
        configuration.routes.post("/admin/drain", this::drain);
        routes.accept(configuration);
    }

    private void ready(Context context) throws JsonProcessingException {
        List<String> reasons = mOperations.notReadyReasons();
        if (!reasons.isEmpty()) {
            context.status(SERVICE_UNAVAILABLE);
        }
        writeJson(context, Map.of("ready", reasons.isEmpty(), "reasons", reasons));
    }

    private void explain(Context context) throws JsonProcessingException {
        var explanation = mOperations.explain(context.pathParam("task"));
        if (explanation.isEmpty()) {
            context.status(ResultCode.NOT_FOUND.httpStatus());
            writeJson(context, error(ResultCode.NOT_FOUND, "no task of that name here"));
            return;
        }
        writeJson(context, explanation.get());
    }

    private void drain(Context context) throws JsonProcessingException {
        mOperations.drain();
        context.status(ACCEPTED);
        ProcessStatus status = mOperations.status();
        writeJson(
                context,
                Map.of(
                        "process", status.process(),
                        "state", status.state(),
                        "in_flight", status.inFlight()));
    }

    private static Map<String, Object> error(ResultCode code, String detail) {
        return Map.of(
                "error", Map.of("number", code.number(), "name", code.name(), "detail", detail));
    }

    private void writeJson(Context context, Object value) throws JsonProcessingException {
        context.contentType("application/json").result(mMapper.writeValueAsString(value));
    }
}
