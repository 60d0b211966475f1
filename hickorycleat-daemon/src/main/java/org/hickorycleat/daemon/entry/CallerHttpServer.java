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

/** HTTP towards callers: checks requests, hands them on and writes the answers. */
final class CallerHttpServer implements AutoCloseable {
    private static final EventLog LOG = EventLog.of(CallerHttpServer.class);

    /** Largest body of a request, in bytes. */
    private static final long MAXIMUM_BODY_BYTES = 512 << 10;

    private static final int MAXIMUM_THREADS = 64;
    private static final int MINIMUM_THREADS = 8;
    private static final long IDLE_TIMEOUT_MS = 30_000;

    /** Result codes below this number say that the request itself is wrong. */
    private static final int FIRST_REFUSAL_NUMBER = 200;

    private static final String RETRY_AFTER = "Retry-After";
    private static final String DEFAULT_RETRY_AFTER_SECONDS = "1";
    private static final String METER = "hickorycleat.requests";
    private static final List<HandlerType> METHODS =
            List.of(
                    HandlerType.GET,
                    HandlerType.HEAD,
                    HandlerType.POST,
                    HandlerType.PUT,
                    HandlerType.PATCH,
                    HandlerType.DELETE);

    private final Supplier<Optional<Manifest>> mManifest;
    private final Function<CallerRequest, CompletableFuture<InvokeResult>> mService;
    private final MeterRegistry mMeters;
    private final Map<ResultCode, Counter> mCounters = new ConcurrentHashMap<>();
    private final CallerDisconnectDetector mPresence = new CallerDisconnectDetector();
    private final AtomicInteger mInProgress = new AtomicInteger();
    private final Javalin mServer;
    private volatile boolean mDraining;

    CallerHttpServer(
            Supplier<Optional<Manifest>> manifest,
            Function<CallerRequest, CompletableFuture<InvokeResult>> service,
            MeterRegistry meters) {
        mManifest = manifest;
        mService = service;
        mMeters = meters;
        mServer = Javalin.create(this::configure);
    }

    /** Starts to listen. */
    void start(InetSocketAddress address) {
        mServer.start(address.getHostString(), address.getPort());
    }

    /** Refuses new requests from now on; those in progress finish. */
    void drain() {
        mDraining = true;
    }

    /** Frees the slots of callers that went away; called several times a second. */
    void checkCallers() {
        mPresence.check();
    }

    /** Returns the number of requests in progress. */
    int inProgress() {
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
        for (HandlerType method : METHODS) {
            configuration.routes.addHttpHandler(
                    method, CallerRequestParser.PREFIX + "<path>", this::handle);
        }
        configuration.routes.exception(
                HttpResponseException.class, (error, context) -> refuse(context, code(error)));
        configuration.routes.exception(Exception.class, this::fail);
        configuration.routes.error(
                404,
                context -> {
                    if (context.res().getHeader("Hickorycleat-Result-Code") == null) {
                        refuse(context, ResultCode.UNKNOWN_SERVICE);
                    }
                });
    }

    private void handle(Context context) {
        if (mDraining) {
            // The balancer and the caller are to use another entry from now on.
            context.header("Connection", "close");
            refuse(context, ResultCode.SHUTTING_DOWN);
            return;
        }
        Optional<Manifest> manifest = mManifest.get();
        if (manifest.isEmpty()) {
            refuse(context, ResultCode.NO_CONFIGURATION);
            return;
        }
        Either<ResultCode, CallerRequest> request =
                CallerRequestParser.parse(context, manifest.get());
        if (request.isLeft()) {
            refuse(context, request.getLeft());
            return;
        }
        mInProgress.incrementAndGet();
        CompletableFuture<InvokeResult> result = mService.apply(request.get());
        CallerDisconnectDetector.Caller caller = mPresence.watch(context, () -> abandon(result));
        CompletableFuture<?> written =
                result.thenAccept(answer -> write(context, caller, answer))
                        .whenComplete(
                                (ignored, error) -> {
                                    caller.answered();
                                    mInProgress.decrementAndGet();
                                });
        context.future(() -> written);
    }

    /** Frees the slot of a request whose caller went away. */
    private void abandon(CompletableFuture<InvokeResult> result) {
        mMeters.counter("hickorycleat.requests.abandoned").increment();
        result.cancel(true);
    }

    private void write(
            Context context, CallerDisconnectDetector.Caller caller, InvokeResult result) {
        if (caller.answered()) {
            context.header("Connection", "close");
        }
        if (result.code() != ResultCode.OK) {
            // Admission control has set when to try again.
            addHeaders(context, result);
            refuse(context, result.code());
            return;
        }
        count(result.code());
        context.status(result.status());
        addHeaders(context, result);
        outcome(context, result.code());
        context.result(result.body());
    }

    private void refuse(Context context, ResultCode code) {
        count(code);
        context.status(code.httpStatus());
        outcome(context, code);
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
            // The first value replaces the default of the server; others are added to it.
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

    private static void outcome(Context context, ResultCode code) {
        context.header("Hickorycleat-Result-Code", Integer.toString(code.number()));
        context.header("Hickorycleat-Outcome", outcomeFor(context, code).headerValue());
    }

    /**
     * Returns what the caller may conclude.
     *
     * <p>The copy of a request with a key that was refused here did not run, but an earlier copy
     * may have run through an entry that died before it answered, so the request is not known not
     * to have run. A request that is wrong in itself never ran.
     */
    private static Outcome outcomeFor(Context context, ResultCode code) {
        boolean refusedCopy =
                code.outcome() == Outcome.NOT_RUN
                        && code.number() >= FIRST_REFUSAL_NUMBER
                        && context.header("Idempotency-Key") != null;
        return refusedCopy ? Outcome.UNKNOWN : code.outcome();
    }

    private void fail(Exception error, Context context) {
        LOG.event("request_failed").with("path", context.path()).with("cause", error).error();
        refuse(context, ResultCode.INTERNAL);
    }

    private static ResultCode code(HttpResponseException error) {
        return switch (error.getStatus()) {
            case 413 -> ResultCode.BODY_TOO_LARGE;
            case 404 -> ResultCode.UNKNOWN_SERVICE;
            default -> ResultCode.MALFORMED_REQUEST;
        };
    }

    private void count(ResultCode code) {
        mCounters
                .computeIfAbsent(code, key -> mMeters.counter(METER, "result", key.name()))
                .increment();
    }
}
