package org.hickorycleat.daemon.entry;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.javalin.Javalin;
import io.javalin.config.JavalinConfig;
import io.javalin.http.Context;
import io.javalin.http.HandlerType;
import io.javalin.http.HttpResponseException;
import io.micrometer.core.instrument.Counter;
import io.micrometer.core.instrument.MeterRegistry;
import io.vavr.control.Either;
import java.net.InetSocketAddress;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Function;
import java.util.function.Supplier;
import org.eclipse.jetty.util.thread.QueuedThreadPool;
import org.hickorycleat.daemon.logging.EventLog;
import org.hickorycleat.logic.retry.CallerRequest;
import org.hickorycleat.model.manifest.Manifest;
import org.hickorycleat.model.message.HttpHeader;
import org.hickorycleat.model.message.InvokeResult;
import org.hickorycleat.model.result.Outcome;
import org.hickorycleat.model.result.ResultCode;

/** HTTP server for callers: validates requests, dispatches them and writes the responses. */
final class CallerHttpServer implements AutoCloseable {
    private static final EventLog LOG = EventLog.of(CallerHttpServer.class);

    /** Maximum size of a request body, in bytes. */
    private static final long MAXIMUM_BODY_BYTES = 512 << 10;

    private static final int MAXIMUM_THREADS = 64;
    private static final int MINIMUM_THREADS = 8;
    private static final long IDLE_TIMEOUT_MS = 30_000;

    /** Result codes below this number mean that the request itself is invalid. */
    private static final int FIRST_REJECTION_NUMBER = 200;

    private static final String RETRY_AFTER = "Retry-After";
    private static final String DEFAULT_RETRY_AFTER_SECONDS = "1";
    private static final String REQUESTS_METER = "hickorycleat.requests";
    private static final List<HandlerType> SUPPORTED_METHODS =
            List.of(
                    HandlerType.GET,
                    HandlerType.HEAD,
                    HandlerType.POST,
                    HandlerType.PUT,
                    HandlerType.PATCH,
                    HandlerType.DELETE);

    private final Supplier<Optional<Manifest>> mManifest;
    private final Function<CallerRequest, CompletableFuture<InvokeResult>> mRequestHandler;
    private final MeterRegistry mMeters;
    private final Map<ResultCode, Counter> mCounters = new ConcurrentHashMap<>();
    private final CallerDisconnectDetector mDisconnectDetector = new CallerDisconnectDetector();
    private final AtomicInteger mInProgress = new AtomicInteger();
    private final Javalin mServer;
    private volatile boolean mDraining;

    CallerHttpServer(
            Supplier<Optional<Manifest>> manifest,
            Function<CallerRequest, CompletableFuture<InvokeResult>> requestHandler,
            MeterRegistry meters) {
        mManifest = manifest;
        mRequestHandler = requestHandler;
        mMeters = meters;
        mServer = Javalin.create(this::configure);
    }

    /** Starts listening. */
    void start(InetSocketAddress address) {
        mServer.start(address.getHostString(), address.getPort());
    }

    /** Rejects new requests; those in progress finish. */
    void drain() {
        mDraining = true;
    }

    /**
     * Cancels the requests of callers that disconnected, which frees their slots. Called several
     * times a second.
     */
    void cancelDisconnectedRequests() {
        mDisconnectDetector.checkConnections();
    }

    /** Returns the number of requests in progress. */
    int requestsInProgress() {
        return mInProgress.get();
    }

    @Override
    public void close() {
        mServer.stop();
    }

    private void configure(JavalinConfig configuration) {
        configuration.startup.showJavalinBanner = false;
        configuration.http.maxRequestSize = MAXIMUM_BODY_BYTES;
        configuration.jetty.threadPool = new QueuedThreadPool(MAXIMUM_THREADS, MINIMUM_THREADS);
        configuration.jetty.modifyHttpConfiguration(
                http -> {
                    http.setIdleTimeout(IDLE_TIMEOUT_MS);
                    http.setSendServerVersion(false);
                });
        for (HandlerType method : SUPPORTED_METHODS) {
            configuration.routes.addHttpHandler(
                    method, CallerRequestParser.PATH_PREFIX + "<path>", this::handle);
        }
        configuration.routes.exception(
                HttpResponseException.class,
                (error, context) -> reject(context, resultCode(error)));
        configuration.routes.exception(Exception.class, this::handleError);
        configuration.routes.error(
                404,
                context -> {
                    if (context.res().getHeader("Hickorycleat-Result-Code") == null) {
                        reject(context, ResultCode.UNKNOWN_SERVICE);
                    }
                });
    }

    private void handle(Context context) {
        if (mDraining) {
            // Makes the load balancer and the caller reconnect to another entry.
            context.header("Connection", "close");
            reject(context, ResultCode.SHUTTING_DOWN);
            return;
        }
        Optional<Manifest> manifest = mManifest.get();
        if (manifest.isEmpty()) {
            reject(context, ResultCode.NO_CONFIGURATION);
            return;
        }
        Either<ResultCode, CallerRequest> request =
                CallerRequestParser.parse(context, manifest.get());
        if (request.isLeft()) {
            reject(context, request.getLeft());
            return;
        }
        mInProgress.incrementAndGet();
        CompletableFuture<InvokeResult> result = mRequestHandler.apply(request.get());
        CallerDisconnectDetector.Caller caller =
                mDisconnectDetector.watch(context, () -> cancelRequest(result));
        CompletableFuture<?> written =
                result.thenAccept(response -> write(context, caller, response))
                        .whenComplete(
                                (ignored, error) -> {
                                    caller.startResponse();
                                    mInProgress.decrementAndGet();
                                });
        context.future(() -> written);
    }

    /** Cancels a request whose caller disconnected, which frees its slot. */
    private void cancelRequest(CompletableFuture<InvokeResult> result) {
        mMeters.counter("hickorycleat.requests.abandoned").increment();
        result.cancel(true);
    }

    private void write(
            Context context, CallerDisconnectDetector.Caller caller, InvokeResult result) {
        if (caller.startResponse()) {
            context.header("Connection", "close");
        }
        if (result.code() != ResultCode.OK) {
            // Admission control may have set Retry-After.
            addHeaders(context, result);
            reject(context, result.code());
            return;
        }
        countResult(result.code());
        context.status(result.status());
        addHeaders(context, result);
        setOutcomeHeaders(context, result.code());
        context.result(result.body());
    }

    private void reject(Context context, ResultCode code) {
        countResult(code);
        context.status(code.httpStatus());
        setOutcomeHeaders(context, code);
        if (code.outcome() == Outcome.NOT_RUN && code.httpStatus() != 400) {
            setDefaultRetryAfter(context);
        }
        ObjectNode body = new ObjectMapper().createObjectNode();
        body.put("result", code.number());
        body.put("name", code.name());
        body.put("outcome", outcomeFor(context, code).headerValue());
        context.contentType("application/json").result(body.toString());
    }

    private static void addHeaders(Context context, InvokeResult result) {
        Set<String> written = new HashSet<>();
        for (HttpHeader header : result.headers()) {
            // The first value replaces the server's default header; further values are added.
            if (written.add(header.name().toLowerCase(Locale.ROOT))) {
                context.res().setHeader(header.name(), header.value());
            } else {
                context.res().addHeader(header.name(), header.value());
            }
        }
    }

    private static void setDefaultRetryAfter(Context context) {
        if (context.res().getHeader(RETRY_AFTER) == null) {
            context.header(RETRY_AFTER, DEFAULT_RETRY_AFTER_SECONDS);
        }
    }

    private static void setOutcomeHeaders(Context context, ResultCode code) {
        context.header("Hickorycleat-Result-Code", Integer.toString(code.number()));
        context.header("Hickorycleat-Outcome", outcomeFor(context, code).headerValue());
    }

    /**
     * Returns the outcome that the caller may rely on.
     *
     * <p>A rejected request with an idempotency key did not run here, but a previous attempt may
     * have run through an entry that failed before it responded, so its outcome is unknown. An
     * invalid request never ran.
     */
    private static Outcome outcomeFor(Context context, ResultCode code) {
        boolean rejectedRetry =
                code.outcome() == Outcome.NOT_RUN
                        && code.number() >= FIRST_REJECTION_NUMBER
                        && context.header("Idempotency-Key") != null;
        return rejectedRetry ? Outcome.UNKNOWN : code.outcome();
    }

    private void handleError(Exception error, Context context) {
        LOG.event("request_failed").with("path", context.path()).with("cause", error).error();
        reject(context, ResultCode.INTERNAL);
    }

    private static ResultCode resultCode(HttpResponseException error) {
        return switch (error.getStatus()) {
            case 413 -> ResultCode.BODY_TOO_LARGE;
            case 404 -> ResultCode.UNKNOWN_SERVICE;
            default -> ResultCode.MALFORMED_REQUEST;
        };
    }

    private void countResult(ResultCode code) {
        mCounters
                .computeIfAbsent(code, key -> mMeters.counter(REQUESTS_METER, "result", key.name()))
                .increment();
    }
}
