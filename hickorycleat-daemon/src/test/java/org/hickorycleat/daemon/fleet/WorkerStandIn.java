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

/**
 * Simulates a worker that speaks the platform's wire protocol, runs every task for a fixed time and
 * ends all runs when its lease expires.
 */
final class WorkerStandIn implements HttpHandler {
    /** Specification of tasks that run until they are stopped or their lease expires. */
    static final String ENDLESS = "endless";

    private static final long DEFAULT_RUN_MS = 200;
    private static final long MAXIMUM_LONG_POLL_MS = 50;

    private final ObjectMapper mMapper = new ObjectMapper();
    private final RunHistory mHistory;
    private final long mRunMs;
    private long mStartedAtMs = System.currentTimeMillis();
    private long mLeaseDeadlineMs;
    private final Map<String, Long> mRunning = new LinkedHashMap<>();
    private final List<String> mEnded = new ArrayList<>();
    private final List<String> mStarts = new ArrayList<>();
    private long mFencingToken;
    private int mAcknowledgedEnds;

    WorkerStandIn() {
        this(new RunHistory(), DEFAULT_RUN_MS);
    }

    WorkerStandIn(RunHistory history, long runMs) {
        mHistory = history;
        mRunMs = runMs;
    }

    /** Crashes and starts a new incarnation without any state of the previous one. */
    synchronized void restart() {
        mRunning.keySet().forEach(mHistory::onEnd);
        mRunning.clear();
        mEnded.clear();
        mFencingToken = 0;
        mAcknowledgedEnds = 0;
        mLeaseDeadlineMs = 0;
        mStartedAtMs = System.currentTimeMillis();
    }

    /** Returns all starts in order, each as task and run number. */
    synchronized List<String> starts() {
        return new ArrayList<>(mStarts);
    }

    /** Returns what runs, each as task and run number. */
    synchronized List<String> running() {
        return new ArrayList<>(mRunning.keySet());
    }

    synchronized String heartbeat(long sequence) {
        return "{\"service\":\"booking\",\"zone\":\"north\",\"state\":\"ready\",\"seq\":"
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
        long waitMs = Math.min(MAXIMUM_LONG_POLL_MS, body.path("wait_ms").asLong(0));
        return Single.timer(waitMs, TimeUnit.MILLISECONDS)
                .map(tick -> execute(request.path(), body));
    }

    private synchronized HttpResponse execute(String path, JsonNode body) {
        endDueRuns();
        if (body.has("deadline_ms")) {
            mLeaseDeadlineMs = Math.max(mLeaseDeadlineMs, body.path("deadline_ms").asLong());
        }
        if (body.path("fencing_token").asLong() < mFencingToken) {
            return text(409, "{\"reason\":\"fence\"," + clock() + "}");
        }
        mFencingToken = body.path("fencing_token").asLong();
        String run = "\"" + body.path("task").asText() + "\"," + body.path("run").asInt();
        return switch (path) {
            case "/run-start" -> {
                if (!mRunning.containsKey(run)) {
                    mStarts.add(run);
                    mHistory.onStart(run);
                    mRunning.put(run, endsAtMs(body.path("task_spec").asText()));
                }
                yield text(200, "{" + clock() + "}");
            }
            case "/run-stop" -> {
                end(run, "stopped");
                yield text(200, "{" + clock() + "}");
            }
            case "/hold" -> {
                acknowledge(body.path("ack_cursor").asInt());
                yield text(200, listing());
            }
            default -> text(404, "{}");
        };
    }

    private long endsAtMs(String taskSpecification) {
        return taskSpecification.equals(ENDLESS)
                ? Long.MAX_VALUE
                : System.currentTimeMillis() + mRunMs;
    }

    /** Ends the runs that have reached their run time, and all runs if the lease has expired. */
    synchronized void endDueRuns() {
        long nowMs = System.currentTimeMillis();
        List<String> due = new ArrayList<>();
        mRunning.forEach(
                (run, endsAtMs) -> {
                    if (endsAtMs <= nowMs) {
                        due.add(run);
                    }
                });
        due.forEach(run -> end(run, "done"));
        if (nowMs - mStartedAtMs > mLeaseDeadlineMs) {
            new ArrayList<>(mRunning.keySet()).forEach(run -> end(run, "lapsed"));
        }
    }

    // A cursor above the last end refers to the previous incarnation.
    private void acknowledge(int cursor) {
        int acknowledged = Math.min(cursor, mEnded.size());
        for (int i = mAcknowledgedEnds; i < acknowledged; i++) {
            mHistory.onAcknowledged(mEnded.get(i));
        }
        mAcknowledgedEnds = Math.max(mAcknowledgedEnds, acknowledged);
    }

    private void end(String run, String cause) {
        if (mRunning.remove(run) != null) {
            mHistory.onEnd(run);
            mEnded.add("[" + (mEnded.size() + 1) + "," + run + ",\"" + cause + "\",\"\"]");
        }
    }

    private String clock() {
        return "\"clock_ms\":" + (System.currentTimeMillis() - mStartedAtMs);
    }

    private String listing() {
        List<String> running = new ArrayList<>();
        mRunning.keySet().forEach(run -> running.add("[" + run + ",\"\",50,900]"));
        List<String> ended = mEnded.subList(mAcknowledgedEnds, mEnded.size());
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
