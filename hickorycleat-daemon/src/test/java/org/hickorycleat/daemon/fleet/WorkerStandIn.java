package org.hickorycleat.daemon.fleet;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.reactivex.rxjava3.core.Single;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.hickorycleat.logic.port.HttpHandler;
import org.hickorycleat.logic.port.HttpRequest;
import org.hickorycleat.logic.port.HttpResponse;

/** A small worker that speaks the platform's wire and runs every task for a fixed time. */
final class WorkerStandIn implements HttpHandler {
    private static final long RUN_MS = 200;
    private static final long LONGEST_WAIT_MS = 50;

    private final ObjectMapper mMapper = new ObjectMapper();
    private final long mStartedAtMs = System.currentTimeMillis();
    private final Map<String, Long> mRunning = new LinkedHashMap<>();
    private final List<String> mEnded = new ArrayList<>();
    private final List<String> mStarts = new ArrayList<>();
    private long mToken;
    private long mAcknowledged;

    /** Returns every start in order, as task and run. */
    synchronized List<String> starts() {
        return new ArrayList<>(mStarts);
    }

    String heartbeat(long sequence) {
        return "{\"service\":\"booking\",\"state\":\"ready\",\"seq\":"
                + sequence
                + ",\"born\":"
                + mStartedAtMs
                + ",\"capacity\":{\"cpu\":16000,\"mem_mb\":64000,\"gpu\":0},"
                + "\"labels\":[\"a\",\"r1-1\"]}";
    }

    @Override
    public Single<HttpResponse> handle(HttpRequest request) {
        JsonNode body;
        try {
            body = mMapper.readTree(request.body());
        } catch (IOException e) {
            return Single.just(text(400, "{}"));
        }
        long waitMs = Math.min(LONGEST_WAIT_MS, body.path("wait_ms").asLong(0));
        return Single.timer(waitMs, TimeUnit.MILLISECONDS)
                .map(tick -> answer(request.path(), body));
    }

    private synchronized HttpResponse answer(String path, JsonNode body) {
        finish();
        if (body.path("fencing_token").asLong() < mToken) {
            return text(409, "{\"reason\":\"fence\"," + clock() + "}");
        }
        mToken = body.path("fencing_token").asLong();
        String run = "\"" + body.path("task").asText() + "\"," + body.path("run").asInt();
        return switch (path) {
            case "/run-start" -> {
                mStarts.add(run);
                mRunning.put(run, System.currentTimeMillis() + RUN_MS);
                yield text(200, "{" + clock() + "}");
            }
            case "/run-stop" -> {
                end(run, "stopped");
                yield text(200, "{" + clock() + "}");
            }
            case "/hold" -> {
                mAcknowledged = Math.max(mAcknowledged, body.path("ack_cursor").asLong());
                yield text(200, lists());
            }
            default -> text(404, "{}");
        };
    }

    private void finish() {
        long nowMs = System.currentTimeMillis();
        List<String> done = new ArrayList<>();
        mRunning.forEach(
                (run, endsAtMs) -> {
                    if (endsAtMs <= nowMs) {
                        done.add(run);
                    }
                });
        done.forEach(run -> end(run, "done"));
    }

    private void end(String run, String cause) {
        if (mRunning.remove(run) != null) {
            mEnded.add("[" + (mEnded.size() + 1) + "," + run + ",\"" + cause + "\",\"\"]");
        }
    }

    private String clock() {
        return "\"clock_ms\":" + (System.currentTimeMillis() - mStartedAtMs);
    }

    private String lists() {
        List<String> running = new ArrayList<>();
        mRunning.keySet().forEach(run -> running.add("[" + run + ",\"\",50,900]"));
        List<String> ended = mEnded.subList((int) mAcknowledged, mEnded.size());
        return "{\"born\":"
                + mStartedAtMs
                + ","
                + clock()
                + ",\"running\":["
                + String.join(",", running)
                + "],\"ended\":["
                + String.join(",", ended)
                + "]}";
    }

    private static HttpResponse text(int status, String body) {
        return HttpResponse.of(status, body.getBytes(StandardCharsets.UTF_8));
    }
}
