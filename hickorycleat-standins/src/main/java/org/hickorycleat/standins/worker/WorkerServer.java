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
    /** Leases and run times end at most this late, which is far below the owner's drift margin. */
    private static final long SETTLE_INTERVAL_MS = 10;

    private final SimulatedWorker mWorker;
    private final UsageSampler mSampler;
    private final WorkerFaults mFaults = new WorkerFaults();
    private final WorkerJson mJson = new WorkerJson();
    private final ScheduledExecutorService mTimer = Executors.newSingleThreadScheduledExecutor();
    private final Javalin mServer;

    /** Starts to listen on a loopback port; 0 takes any free one. */
    public WorkerServer(SimulatedWorker worker, int port) {
        mWorker = worker;
        mSampler = new UsageSampler(worker);
        mServer = Javalin.create(this::routes);
        mServer.start("127.0.0.1", port);
        var unused =
                mTimer.scheduleWithFixedDelay(
                        this::settle,
                        SETTLE_INTERVAL_MS,
                        SETTLE_INTERVAL_MS,
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

    private void settle() {
        if (!mFaults.isPaused()) {
            mWorker.endDueAttempts();
            mSampler.sample();
        }
    }

    private void routes(JavalinConfig configuration) {
        configuration.startup.showJavalinBanner = false;
        configuration.routes.get("/tasks", exchange -> answer(exchange, this::listing));
        configuration.routes.get("/usage", exchange -> answer(exchange, this::usage));
        configuration.routes.post("/fence", exchange -> command(exchange, this::fence));
        configuration.routes.post("/renew", exchange -> command(exchange, this::renew));
        configuration.routes.post("/start", exchange -> command(exchange, this::start));
        configuration.routes.post("/stop", exchange -> command(exchange, this::stop));
        configuration.routes.post("/checkpoint", exchange -> command(exchange, this::checkpoint));
        configuration.routes.post("/throttle", exchange -> command(exchange, this::throttle));
        configuration.routes.get("/records", this::records);
        configuration.routes.post("/control", this::control);
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

    private void records(Context exchange) {
        exchange.contentType("application/json")
                .result(mJson.records(mWorker.clockMs(), mWorker.events()));
    }

    private void control(Context exchange) {
        try {
            apply(mJson.parse(exchange.body()));
            exchange.contentType("application/json").result(mJson.faults(mFaults));
        } catch (IllegalArgumentException exception) {
            malformed(exchange);
        }
    }

    private void apply(JsonNode body) {
        if (body.has("failing")) {
            mFaults.failing(body.get("failing").asBoolean());
        }
        if (body.has("fail_after_ms")) {
            mFaults.failAfterMs(WorkerJson.number(body, "fail_after_ms"));
        }
        if (body.has("slow_ms")) {
            mFaults.slowMs(WorkerJson.number(body, "slow_ms"));
        }
        if (body.has("lost_answers")) {
            mFaults.lostAnswers((int) WorkerJson.number(body, "lost_answers"));
        }
        mWorker.setFailing(mFaults.isFailing(), mFaults.failAfterMs());
        if (body.path("restart").asBoolean()) {
            mWorker.restart();
        }
        if (body.has("paused")) {
            mFaults.paused(body.get("paused").asBoolean());
        }
    }

    private void command(Context exchange, Function<JsonNode, CommandResponse> action) {
        JsonNode body;
        try {
            body = mJson.parse(exchange.body());
            mFaults.awaitRunning();
            CommandResponse reply = action.apply(body);
            exchange.status(reply.code().httpStatus());
            send(exchange, mJson.reply(reply));
        } catch (IllegalArgumentException exception) {
            malformed(exchange);
        } catch (InterruptedException exception) {
            Thread.currentThread().interrupt();
        }
    }

    private void answer(Context exchange, Supplier<String> content) {
        try {
            mFaults.awaitRunning();
            send(exchange, content.get());
        } catch (InterruptedException exception) {
            Thread.currentThread().interrupt();
        }
    }

    /** The action has taken effect; its answer may be late or lost. */
    private void send(Context exchange, String answer) throws InterruptedException {
        Thread.sleep(mFaults.slowMs());
        if (mFaults.loseAnswer()) {
            ServletContextResponse.getServletContextResponse(exchange.res())
                    .getRequest()
                    .getConnectionMetaData()
                    .getConnection()
                    .getEndPoint()
                    .close();
            return;
        }
        exchange.contentType("application/json").result(answer);
    }

    private void malformed(Context exchange) {
        ResultCode code = ResultCode.MALFORMED_REQUEST;
        exchange.status(code.httpStatus()).contentType("application/json").result(mJson.code(code));
    }
}
