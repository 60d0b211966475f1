package review2;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Executors;

/** Stand-in of a worker: runs tasks for the time that their specification names. */
final class Worker {
    private static final ObjectMapper MAPPER = new ObjectMapper();
    private static final long MAXIMUM_HOLD_MS = 10_000;
    private static final int LISTED_ENDS = 500;

    private final String mId;
    private final Record mRecord;
    private final HttpServer mServer;
    private final int mCpu;
    private long mBornMs = System.currentTimeMillis();
    private long mStartMs = Fleet.nowMs();
    private long mSequence;
    private long mToken;
    private long mDeadlineMs;
    private long mAcknowledged;
    private final Map<String, Run> mRunning = new LinkedHashMap<>();
    private final Map<String, Integer> mHighestRun = new HashMap<>();
    private final List<End> mEnds = new ArrayList<>();
    private final boolean mListStarts;

    private record Run(String task, int run, long startMs, long endMs, boolean fails) {}

    private record End(long number, String task, int run, String how) {}

    Worker(String id, InetSocketAddress address, int cpu, Record record, boolean listStarts)
            throws IOException {
        mId = id;
        mCpu = cpu;
        mRecord = record;
        mListStarts = listStarts;
        mServer = HttpServer.create(address, 128);
        mServer.setExecutor(Executors.newCachedThreadPool(Fleet::daemonThread));
        mServer.createContext("/", this::serve);
        mServer.start();
    }

    /** Crashes and starts again under the same id, with the given time of start. */
    synchronized void restart(long bornMs) {
        for (Run run : mRunning.values()) {
            mRecord.onEnd(run.task(), run.run(), mId, "crash");
        }
        mRunning.clear();
        mHighestRun.clear();
        mEnds.clear();
        mToken = 0;
        mDeadlineMs = 0;
        mAcknowledged = 0;
        mSequence = 0;
        mBornMs = bornMs;
        mStartMs = Fleet.nowMs();
        mRecord.note("worker " + mId + " crashes and starts again, born " + bornMs);
        notifyAll();
    }

    synchronized String heartbeat() {
        mSequence++;
        return "{\"service\":\"booking\",\"address\":\""
                + mServer.getAddress().getAddress().getHostAddress()
                + ":"
                + mServer.getAddress().getPort()
                + "\",\"zone\":\"north\",\"version\":\"v1\",\"slots\":8,\"state\":\"ready\","
                + "\"cold_left_ms\":0,\"seq\":"
                + mSequence
                + ",\"born\":"
                + mBornMs
                + ",\"clock_ms\":"
                + clockMs()
                + ",\"capacity\":{\"cpu\":"
                + mCpu
                + ",\"mem_mb\":64000,\"gpu\":0},\"labels\":[\"a\",\"r1-1\"]}";
    }

    private long clockMs() {
        return Fleet.nowMs() - mStartMs;
    }

    /** Ends what is due; called often, also without a request. */
    synchronized void advance() {
        long now = Fleet.nowMs();
        for (Run run : List.copyOf(mRunning.values())) {
            if (run.endMs() <= now) {
                end(run, run.fails() ? "failed" : "done");
            } else if (clockMs() > mDeadlineMs) {
                end(run, "lapsed");
            }
        }
    }

    private void end(Run run, String how) {
        mRunning.remove(key(run.task(), run.run()));
        mHighestRun.merge(run.task(), run.run(), Math::max);
        mEnds.add(new End(mEnds.size() + 1, run.task(), run.run(), how));
        mRecord.onEnd(run.task(), run.run(), mId, how);
        notifyAll();
    }

    private void serve(HttpExchange exchange) throws IOException {
        JsonNode body = MAPPER.readTree(exchange.getRequestBody().readAllBytes());
        String expected = exchange.getRequestHeaders().getFirst("X-Hickorycleat-Expect-Instance");
        try {
            execute(exchange, body, expected);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void execute(HttpExchange exchange, JsonNode body, String expected)
            throws IOException, InterruptedException {
        int status = 200;
        String text;
        synchronized (this) {
            advance();
            long token = body.path("fencing_token").asLong(0);
            if (expected != null && !expected.equals(mId)) {
                status = 421;
                text = "{" + clock() + "}";
            } else if (token < mToken) {
                status = 409;
                text = "{\"reason\":\"fence\"," + clock() + "}";
            } else {
                mToken = token;
                if (body.has("deadline_ms")) {
                    long limited =
                            Math.min(body.path("deadline_ms").asLong(), clockMs() + MAXIMUM_HOLD_MS);
                    mDeadlineMs = Math.max(mDeadlineMs, limited);
                }
                text =
                        switch (exchange.getRequestURI().getPath()) {
                            case "/run-start" -> start(body);
                            case "/run-stop" -> stop(body);
                            case "/hold" -> hold(body);
                            default -> "{" + clock() + "}";
                        };
                status = text.contains("\"reason\"") ? 409 : 200;
            }
        }
        Fleet.respond(exchange, status, text);
    }

    private static String key(String task, int run) {
        return task + "#" + run;
    }

    private String clock() {
        return "\"clock_ms\":" + clockMs() + ",\"born\":" + mBornMs;
    }

    private String start(JsonNode body) {
        String task = body.path("task").asText();
        int run = body.path("run").asInt();
        if (mRunning.containsKey(key(task, run))) {
            return "{" + clock() + "}";
        }
        if (run <= mHighestRun.getOrDefault(task, 0)) {
            return "{\"reason\":\"old\"," + clock() + "}";
        }
        if (clockMs() > mDeadlineMs) {
            return "{\"reason\":\"late\"," + clock() + "}";
        }
        String spec = body.path("task_spec").asText();
        boolean fails = spec.contains("fails");
        long lengthMs = Long.parseLong(spec.replaceAll("^ms=(\\d+).*", "$1"));
        long now = Fleet.nowMs();
        mRunning.put(key(task, run), new Run(task, run, now, now + lengthMs, fails));
        mRecord.onStart(task, run, mId, mListStarts);
        notifyAll();
        return "{" + clock() + "}";
    }

    private String stop(JsonNode body) {
        String task = body.path("task").asText();
        int run = body.path("run").asInt();
        mHighestRun.merge(task, run, Math::max);
        Run present = mRunning.get(key(task, run));
        if (present != null) {
            end(present, "stopped");
        }
        return "{" + clock() + "}";
    }

    private String hold(JsonNode body) throws InterruptedException {
        long cursor = body.path("ack_cursor").asLong(0);
        for (End end : mEnds) {
            if (end.number() > mAcknowledged && end.number() <= cursor) {
                mRecord.onAcknowledged(end.task(), end.run(), end.how());
            }
        }
        // A cursor above the last end was meant for the previous incarnation.
        mAcknowledged = Math.max(mAcknowledged, Math.min(cursor, mEnds.size()));
        long untilMs = Fleet.nowMs() + Math.min(2_000, body.path("wait_ms").asLong(0));
        long born = mBornMs;
        long incarnationStartMs = mStartMs;
        while (unlisted().isEmpty() && Fleet.nowMs() < untilMs) {
            wait(Math.max(1, Math.min(20, untilMs - Fleet.nowMs())));
            if (born != mBornMs || incarnationStartMs != mStartMs) {
                break;
            }
            advance();
        }
        List<String> running = new ArrayList<>();
        long now = Fleet.nowMs();
        for (Run run : mRunning.values()) {
            long percent = 100 * (now - run.startMs()) / Math.max(1, run.endMs() - run.startMs());
            running.add(
                    "[\"" + run.task() + "\"," + run.run() + ",\"\"," + Math.min(100, percent)
                            + ",500]");
        }
        List<String> ended = new ArrayList<>();
        for (End end : unlisted()) {
            ended.add(
                    "[" + end.number() + ",\"" + end.task() + "\"," + end.run() + ",\""
                            + end.how() + "\",\"\"]");
        }
        return "{"
                + clock()
                + ",\"running\":["
                + String.join(",", running)
                + "],\"ended\":["
                + String.join(",", ended)
                + "]}";
    }

    private List<End> unlisted() {
        int from = (int) Math.min(mEnds.size(), mAcknowledged);
        return mEnds.subList(from, Math.min(mEnds.size(), from + LISTED_ENDS));
    }
}
