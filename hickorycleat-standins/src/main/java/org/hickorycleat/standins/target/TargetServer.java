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

/** HTTP server of the target stand-in, which counts the runs of each request. */
final class TargetServer {
    private static final int MAXIMUM_THREADS = 16;
    private static final int INTERNAL_SERVER_ERROR = 500;

    private final TargetBehaviour mBehaviour;
    private final ObjectMapper mMapper = new ObjectMapper();
    private final Map<String, Integer> mRunCounts = new ConcurrentHashMap<>();

    TargetServer(TargetBehaviour behaviour) {
        mBehaviour = behaviour;
    }

    void start(int port) {
        Javalin.create(
                        configuration -> {
                            configuration.jetty.threadPool =
                                    new QueuedThreadPool(MAXIMUM_THREADS, 4);
                            configuration.routes.get("/records", this::records);
                            configuration.routes.post("/control", this::updateBehaviour);
                            configuration.routes.get("/work/<path>", this::work);
                            configuration.routes.post("/work/<path>", this::work);
                        })
                .start("127.0.0.1", port);
    }

    /**
     * Echoes the load identifier and the body, so that callers can verify that a response belongs
     * to their request.
     */
    private void work(Context context) {
        String loadId = Optional.ofNullable(context.header("Load-Id")).orElse("none");
        byte[] body = context.bodyAsBytes();
        CompletableFuture<Void> finished = new CompletableFuture<>();
        context.future(() -> finished);
        mBehaviour.submit(
                () -> {
                    mRunCounts.merge(loadId, 1, Integer::sum);
                    context.header("Load-Id", loadId);
                    if (mBehaviour.isFailing()) {
                        context.status(INTERNAL_SERVER_ERROR);
                    }
                    context.result(body);
                    finished.complete(null);
                });
    }

    private void records(Context context) {
        ObjectNode json = mMapper.createObjectNode();
        json.put("highest_running", mBehaviour.peakRunning());
        ObjectNode runs = json.putObject("runs");
        mRunCounts.forEach(runs::put);
        context.contentType("application/json").result(json.toString());
    }

    private void updateBehaviour(Context context) throws IOException {
        JsonNode body = mMapper.readTree(context.bodyAsBytes());
        mBehaviour.configure(
                body.path("slow_factor").asDouble(1),
                body.path("failing").asBoolean(false),
                body.path("paused").asBoolean(false),
                body.path("leaving").asBoolean(false));
        context.result("{}");
    }
}
