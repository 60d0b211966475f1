package org.hickorycleat.standins.logservice;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.javalin.Javalin;
import io.javalin.config.JavalinConfig;
import io.javalin.http.Context;
import java.io.IOException;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Executor;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import org.eclipse.jetty.ee10.servlet.ServletContextResponse;

/** HTTP server of the log service stand-in; docs/interfaces.md describes the protocol. */
public final class LogServer implements AutoCloseable {
    private static final int MAXIMUM_RECORD_BYTES = 4 << 20;
    private static final int DEFAULT_PAGE_RECORDS = 100;
    private static final int MAXIMUM_PAGE_RECORDS = 10_000;
    private static final long MAXIMUM_WAIT_MS = 60_000;
    private static final ObjectMapper MAPPER = new ObjectMapper();

    private final LogRetention mRetention;
    private final Map<String, LogStream> mStreams = new ConcurrentHashMap<>();
    private final AppendLimiter mLimiter = new AppendLimiter(System::nanoTime);
    private final LogCounts mCounts = new LogCounts();
    private final Random mRandom;
    private final ExecutorService mExecutor = Executors.newFixedThreadPool(4);
    private final Javalin mHttpServer;
    private volatile LogFaults mFaults = LogFaults.NONE;
    private volatile CompletableFuture<Void> mOutageEnd = new CompletableFuture<>();

    private LogServer(LogRetention retention, long seed) {
        mRetention = retention;
        mRandom = new Random(seed);
        mHttpServer = Javalin.create(this::configure);
    }

    /** Starts a server on loopback; port 0 selects a free one. */
    public static LogServer start(int port, LogRetention retention, long seed) {
        LogServer server = new LogServer(retention, seed);
        server.mHttpServer.start("127.0.0.1", port);
        return server;
    }

    /** Returns the port that the server listens on. */
    public int port() {
        return mHttpServer.port();
    }

    /** Returns the faults being injected. */
    public LogFaults faults() {
        return mFaults;
    }

    /** Replaces the injected faults; requests held during an outage get status 503 when it ends. */
    public synchronized void setFaults(LogFaults faults) {
        mFaults = faults;
        if (faults.outage() == LogOutage.NONE) {
            CompletableFuture<Void> ended = mOutageEnd;
            mOutageEnd = new CompletableFuture<>();
            ended.complete(null);
        }
    }

    @Override
    public void close() {
        setFaults(LogFaults.NONE);
        mHttpServer.stop();
        mExecutor.shutdownNow();
    }

    private void configure(JavalinConfig configuration) {
        configuration.startup.showJavalinBanner = false;
        configuration.startup.showOldJavalinVersionWarning = false;
        configuration.http.maxRequestSize = MAXIMUM_RECORD_BYTES;
        configuration.routes.post("/streams/{stream}/records", this::append);
        configuration.routes.get("/streams/{stream}/records", this::read);
        configuration.routes.get("/control", this::sendStatus);
        configuration.routes.post("/control", this::updateFaults);
    }

    private void append(Context context) {
        byte[] payload = context.bodyAsBytes();
        LogStream stream = stream(context.pathParam("stream"));
        respond(context, () -> append(context, stream, payload));
    }

    private CompletableFuture<Void> append(Context context, LogStream stream, byte[] payload) {
        if (!mLimiter.tryAcquire(mFaults.appendLimitPerSecond())) {
            mCounts.mRateLimited.increment();
            return send(context, 429, error("append limit reached"));
        }
        long offset = stream.append(payload);
        mCounts.mAppends.increment();
        if (shouldLoseResponse()) {
            mCounts.mLostResponses.increment();
            ServletContextResponse.getServletContextResponse(context.res())
                    .getRequest()
                    .getConnectionMetaData()
                    .getConnection()
                    .getEndPoint()
                    .close();
            return CompletableFuture.completedFuture(null);
        }
        return send(context, 200, MAPPER.createObjectNode().put("offset", offset));
    }

    private void read(Context context) {
        Optional<Long> from = queryNumber(context, "from", 0, Long.MAX_VALUE, 0);
        Optional<Long> limit =
                queryNumber(context, "limit", 1, MAXIMUM_PAGE_RECORDS, DEFAULT_PAGE_RECORDS);
        Optional<Long> wait = queryNumber(context, "wait_ms", 0, MAXIMUM_WAIT_MS, 0);
        if (from.isEmpty() || limit.isEmpty() || wait.isEmpty()) {
            context.status(400).result(error("from, limit or wait_ms is out of range").toString());
            return;
        }
        LogStream stream = stream(context.pathParam("stream"));
        int records = limit.get().intValue();
        respond(context, () -> read(context, stream, from.get(), records, wait.get()));
    }

    private CompletableFuture<Void> read(
            Context context, LogStream stream, long from, int limit, long waitMs) {
        mCounts.mReads.increment();
        StoredPage page = stream.read(from, limit);
        if (page.truncated() || !page.records().isEmpty() || waitMs == 0) {
            return send(context, page);
        }
        CompletableFuture<Void> timer =
                CompletableFuture.runAsync(() -> {}, delayedExecutor(waitMs));
        return CompletableFuture.anyOf(stream.appendAfter(from), timer)
                .thenComposeAsync(woken -> send(context, stream.read(from, limit)), mExecutor);
    }

    private CompletableFuture<Void> send(Context context, StoredPage page) {
        if (mFaults.outage() != LogOutage.NONE) {
            return respondDuringOutage(context);
        }
        ObjectNode json = MAPPER.createObjectNode().put("first_offset", page.firstOffset());
        if (page.truncated()) {
            return send(context, 410, json);
        }
        json.put("next_offset", page.nextOffset());
        ArrayNode records = json.putArray("records");
        for (StoredRecord record : page.records()) {
            records.addObject()
                    .put("offset", record.offset())
                    .put("timestamp_ms", record.timestampMs())
                    .put("payload", record.payload());
        }
        return send(context, 200, json);
    }

    /** Runs an action under the current faults and responds when its future completes. */
    private void respond(Context context, Supplier<CompletableFuture<Void>> action) {
        context.future(() -> runUnderFaults(context, action));
    }

    private CompletableFuture<Void> runUnderFaults(
            Context context, Supplier<CompletableFuture<Void>> action) {
        if (mFaults.outage() != LogOutage.NONE) {
            return respondDuringOutage(context);
        }
        long halfDelayMs = mFaults.delayMs() / 2;
        if (halfDelayMs == 0) {
            return action.get();
        }
        return CompletableFuture.runAsync(() -> {}, delayedExecutor(halfDelayMs))
                .thenCompose(started -> action.get())
                .thenComposeAsync(CompletableFuture::completedFuture, delayedExecutor(halfDelayMs));
    }

    private CompletableFuture<Void> respondDuringOutage(Context context) {
        if (mFaults.outage() == LogOutage.REFUSE) {
            mCounts.mRejected.increment();
            return send(context, 503, error("outage"));
        }
        mCounts.mHeld.increment();
        return mOutageEnd.thenComposeAsync(
                ended -> send(context, 503, error("outage has ended")), mExecutor);
    }

    private static CompletableFuture<Void> send(Context context, int status, ObjectNode json) {
        context.status(status).contentType("application/json").result(json.toString());
        return CompletableFuture.completedFuture(null);
    }

    private void updateFaults(Context context) {
        try {
            JsonNode json = MAPPER.readTree(context.bodyAsBytes());
            setFaults(mFaults.with(json));
            sendStatus(context);
        } catch (IOException | IllegalArgumentException exception) {
            String detail =
                    exception instanceof JsonProcessingException
                            ? "not JSON"
                            : String.valueOf(exception.getMessage());
            context.status(400).result(error(detail).toString());
        }
    }

    private void sendStatus(Context context) {
        LogFaults faults = mFaults;
        ObjectNode json = MAPPER.createObjectNode();
        json.put("outage", faults.outage().wireName());
        json.put("delay_ms", faults.delayMs());
        json.put("lose_answer_rate", faults.lostResponseRate());
        json.put("append_limit_per_second", faults.appendLimitPerSecond());
        json.putObject("counts")
                .put("appends", mCounts.mAppends.sum())
                .put("reads", mCounts.mReads.sum())
                .put("lost_answers", mCounts.mLostResponses.sum())
                .put("refused", mCounts.mRejected.sum())
                .put("limited", mCounts.mRateLimited.sum())
                .put("held", mCounts.mHeld.sum());
        context.contentType("application/json").result(json.toString());
    }

    private LogStream stream(String name) {
        return mStreams.computeIfAbsent(
                name, absent -> new LogStream(mRetention, System::currentTimeMillis));
    }

    private Executor delayedExecutor(long delayMs) {
        return CompletableFuture.delayedExecutor(delayMs, TimeUnit.MILLISECONDS, mExecutor);
    }

    private boolean shouldLoseResponse() {
        double rate = mFaults.lostResponseRate();
        if (rate == 0) {
            return false;
        }
        synchronized (mRandom) {
            return mRandom.nextDouble() < rate;
        }
    }

    private static Optional<Long> queryNumber(
            Context context, String name, long minimum, long maximum, long defaultValue) {
        String text = context.queryParam(name);
        if (text == null) {
            return Optional.of(defaultValue);
        }
        try {
            long value = Long.parseLong(text);
            return value >= minimum && value <= maximum ? Optional.of(value) : Optional.empty();
        } catch (NumberFormatException exception) {
            return Optional.empty();
        }
    }

    private static ObjectNode error(String detail) {
        return MAPPER.createObjectNode().put("error", detail);
    }
}
