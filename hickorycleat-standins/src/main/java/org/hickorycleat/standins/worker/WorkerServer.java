package org.hickorycleat.standins.worker;

import com.fasterxml.jackson.databind.JsonNode;
import io.javalin.Javalin;
import io.javalin.config.JavalinConfig;
import io.javalin.http.Context;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;
import java.util.function.Supplier;
import org.eclipse.jetty.ee10.servlet.ServletContextResponse;
import org.hickorycleat.model.result.ResultCode;

/** HTTP interface of a simulated worker. */
public final class WorkerServer implements AutoCloseable {
    /**
     * Bounds how late attempts end after their completion or lease expiry; far below the clock
     * drift margin of owners.
     */
    private static final long UPDATE_INTERVAL_MS = 10;

    private final SimulatedWorker mWorker;
    private final UsageSampler mSampler;
    private final WorkerFaults mFaults = new WorkerFaults();
    private final WorkerJson mJson = new WorkerJson();
    private final ScheduledExecutorService mTimer = Executors.newSingleThreadScheduledExecutor();
    private final Javalin mServer;

    /** Starts listening on a loopback port; port 0 selects a free one. */
    public WorkerServer(SimulatedWorker worker, int port) {
        mWorker = worker;
        mSampler = new UsageSampler(worker);
        mServer = Javalin.create(this::configure);
        mServer.start("127.0.0.1", port);
        var unused =
                mTimer.scheduleWithFixedDelay(
                        this::update,
                        UPDATE_INTERVAL_MS,
                        UPDATE_INTERVAL_MS,
                        TimeUnit.MILLISECONDS);
    }

    /** Returns the port. */
    public int port() {
        return mServer.port();
    }

    @Override
    public void close() {
        mTimer.shutdownNow();
        mServer.stop();
    }

    private void update() {
        if (!mFaults.isPaused()) {
            mWorker.endDueAttempts();
            mSampler.sample();
        }
    }

    private void configure(JavalinConfig configuration) {
        configuration.startup.showJavalinBanner = false;
        configuration.routes.get("/tasks", context -> respond(context, this::listing));
        configuration.routes.get("/usage", context -> respond(context, this::usage));
        configuration.routes.post("/fence", context -> executeCommand(context, this::fence));
        configuration.routes.post("/renew", context -> executeCommand(context, this::renew));
        configuration.routes.post("/start", context -> executeCommand(context, this::start));
        configuration.routes.post("/stop", context -> executeCommand(context, this::stop));
        configuration.routes.post(
                "/checkpoint", context -> executeCommand(context, this::checkpoint));
        configuration.routes.post("/throttle", context -> executeCommand(context, this::throttle));
        configuration.routes.get("/records", this::records);
        configuration.routes.post("/control", this::updateFaults);
    }

    private CommandResponse fence(JsonNode body) {
        return CommandResponse.of(mWorker.fence(WorkerJson.shard(body), WorkerJson.epoch(body)));
    }

    private CommandResponse renew(JsonNode body) {
        return CommandResponse.of(
                mWorker.renew(
                        WorkerJson.shard(body),
                        WorkerJson.epoch(body),
                        WorkerJson.incarnation(body),
                        WorkerJson.keys(body),
                        WorkerJson.number(body, "lease_until_ms")));
    }

    private CommandResponse start(JsonNode body) {
        return mWorker.start(WorkerJson.start(body));
    }

    private CommandResponse stop(JsonNode body) {
        return mWorker.stop(WorkerJson.key(body), WorkerJson.epoch(body));
    }

    private CommandResponse checkpoint(JsonNode body) {
        return mWorker.checkpoint(WorkerJson.key(body), WorkerJson.epoch(body));
    }

    private CommandResponse throttle(JsonNode body) {
        long permille = WorkerJson.number(body, "permille");
        if (permille < 1 || permille > 1000) {
            throw new IllegalArgumentException("permille is not from 1 to 1000");
        }
        return mWorker.throttle(WorkerJson.key(body), WorkerJson.epoch(body), (int) permille);
    }

    private String listing() {
        return mJson.listing(mWorker);
    }

    private String usage() {
        return mJson.usage(mSampler.usage());
    }

    private void records(Context context) {
        context.contentType("application/json")
                .result(mJson.records(mWorker.clockMs(), mWorker.events()));
    }

    private void updateFaults(Context context) {
        try {
            applyFaults(mJson.parse(context.body()));
            context.contentType("application/json").result(mJson.faults(mFaults));
        } catch (IllegalArgumentException exception) {
            sendMalformed(context);
        }
    }

    private void applyFaults(JsonNode body) {
        if (body.has("failing")) {
            mFaults.setFailing(body.get("failing").asBoolean());
        }
        if (body.has("fail_after_ms")) {
            mFaults.setFailAfterMs(WorkerJson.number(body, "fail_after_ms"));
        }
        if (body.has("slow_ms")) {
            mFaults.setResponseDelayMs(WorkerJson.number(body, "slow_ms"));
        }
        if (body.has("lost_answers")) {
            mFaults.setResponsesToLose((int) WorkerJson.number(body, "lost_answers"));
        }
        mWorker.setFailing(mFaults.isFailing(), mFaults.failAfterMs());
        if (body.path("restart").asBoolean()) {
            mWorker.restart();
        }
        if (body.has("paused")) {
            mFaults.setPaused(body.get("paused").asBoolean());
        }
    }

    private void executeCommand(Context context, Function<JsonNode, CommandResponse> action) {
        JsonNode body;
        try {
            body = mJson.parse(context.body());
            mFaults.awaitResumed();
            CommandResponse response = action.apply(body);
            context.status(response.code().httpStatus());
            sendResponse(context, mJson.response(response));
        } catch (IllegalArgumentException exception) {
            sendMalformed(context);
        } catch (InterruptedException exception) {
            Thread.currentThread().interrupt();
        }
    }

    private void respond(Context context, Supplier<String> content) {
        try {
            mFaults.awaitResumed();
            sendResponse(context, content.get());
        } catch (InterruptedException exception) {
            Thread.currentThread().interrupt();
        }
    }

    /** Sends the response to an action that is already applied; faults may delay or lose it. */
    private void sendResponse(Context context, String body) throws InterruptedException {
        Thread.sleep(mFaults.responseDelayMs());
        if (mFaults.loseNextResponse()) {
            ServletContextResponse.getServletContextResponse(context.res())
                    .getRequest()
                    .getConnectionMetaData()
                    .getConnection()
                    .getEndPoint()
                    .close();
            return;
        }
        context.contentType("application/json").result(body);
    }

    private void sendMalformed(Context context) {
        ResultCode code = ResultCode.MALFORMED_REQUEST;
        context.status(code.httpStatus()).contentType("application/json").result(mJson.code(code));
    }
}
