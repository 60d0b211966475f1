package org.hickorycleat.standins.target;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.javalin.Javalin;
import io.javalin.http.Context;
import java.io.IOException;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import org.eclipse.jetty.util.thread.QueuedThreadPool;

/** HTTP of the stand-in target: answers requests and keeps a record of each that ran. */
final class TargetServer {
    private static final int THREADS = 16;
    private static final int SERVER_ERROR = 500;

    private final TargetBehaviour mBehaviour;
    private final ObjectMapper mMapper = new ObjectMapper();
    private final Map<String, Integer> mRuns = new ConcurrentHashMap<>();

    TargetServer(TargetBehaviour behaviour) {
        mBehaviour = behaviour;
    }

    void start(int port) {
        Javalin.create(
                        configuration -> {
                            configuration.jetty.threadPool = new QueuedThreadPool(THREADS, 4);
                            configuration.routes.get("/records", this::records);
                            configuration.routes.post("/control", this::control);
                            configuration.routes.get("/work/<path>", this::work);
                            configuration.routes.post("/work/<path>", this::work);
                        })
                .start("127.0.0.1", port);
    }

    /** Answers with the load identifier and the body, so that the caller can tell its own. */
    private void work(Context context) {
        String load = Optional.ofNullable(context.header("Load-Id")).orElse("none");
        byte[] body = context.bodyAsBytes();
        CompletableFuture<Void> finished = new CompletableFuture<>();
        context.future(() -> finished);
        mBehaviour.run(
                () -> {
                    mRuns.merge(load, 1, Integer::sum);
                    context.header("Load-Id", load);
                    if (mBehaviour.isFailing()) {
                        context.status(SERVER_ERROR);
                    }
                    context.result(body);
                    finished.complete(null);
                });
    }

    private void records(Context context) {
        ObjectNode answer = mMapper.createObjectNode();
        answer.put("highest_running", mBehaviour.highestRunning());
        ObjectNode runs = answer.putObject("runs");
        mRuns.forEach(runs::put);
        context.contentType("application/json").result(answer.toString());
    }

    private void control(Context context) throws IOException {
        JsonNode body = mMapper.readTree(context.bodyAsBytes());
        mBehaviour.control(
                body.path("slow_factor").asDouble(1),
                body.path("failing").asBoolean(false),
                body.path("paused").asBoolean(false),
                body.path("leaving").asBoolean(false));
        context.result("{}");
    }
}
