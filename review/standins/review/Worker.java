package review;

import com.fasterxml.jackson.databind.JsonNode;
import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ThreadLocalRandom;
import java.util.function.Consumer;

/**
 * A minion as the pages describe it: it runs tasks under a lease, keeps the highest fencing token,
 * guards its capacity, and lists ends from the first that is not acknowledged, 500 at a time.
 *
 * <p>What a task does stands in its task_spec: {@code {"run_ms":1500,"failing_runs":1}}; run_ms of
 * -1 is a task that lasts, and that many of its first runs fail.
 */
final class Worker {
    private static final int MAXIMUM_HOLD_MS = 10_000;
    private static final int STOP_MS = 100;
    private static final int CHECKPOINT_MS = 1_000;
    private static final int ENDS_AT_A_TIME = 500;
    private static final int BEAT_MS = 1_500;
    private static final int TICK_MS = 5;
    /** Time by which a response arrives later than the one that overtakes it. */
    private static final int OVERTAKEN_BY_MS = 3;

    private static final int CPU = 16_000;
    private static final int MEMORY_MB = 64_000;

    /** A run of a task; times are on the clock of the process. */
    static final class Run {
        final String mTask;
        final int mNumber;
        final long mWorkMs;
        final String mEnd;
        final long mStartMs = Clock.nowMs();
        long mSavedMs;
        long mStopAtMs = Long.MAX_VALUE;

        Run(String task, int number, long workMs, String end, long savedMs) {
            mTask = task;
            mNumber = number;
            mWorkMs = workMs;
            mEnd = end;
            mSavedMs = savedMs;
        }

        private long doneMs(long nowMs, long resumedMs) {
            return resumedMs + nowMs - mStartMs;
        }
    }

    /** An end of a run. */
    record End(long number, String task, int run, String how, String saved, long atMs) {}

    /** Resources that the client of a case gives to each task; the wire of a start has none. */
    interface Sizes {
        int cpu(String task);
    }

    private final String mId;
    private final Record mRecord;
    private final String mService;
    private final String mRack;
    private final Sizes mSizes;
    private final Consumer<String> mNote;
    private final long mBorn = System.currentTimeMillis();
    private final long mClockZeroMs = Clock.nowMs() - 1_000;
    private final Map<String, Run> mRunning = new LinkedHashMap<>();
    private final Map<String, Long> mResumedMs = new HashMap<>();
    private final Map<String, Integer> mHighestEnded = new HashMap<>();
    private final List<End> mEnds = new ArrayList<>();
    private long mFence;
    private long mDeadline;
    private long mAcknowledged;
    private int mUsedCpu;
    private long mAdvancedMs;
    private volatile boolean mClosed;
    private volatile double mLateShare;
    private volatile int mOvertakenMs;
    private volatile int mCheckpointLength = 16;
    private HttpServer mServer;
    private int mStarts;
    private int mListedStarts;
    private int mListedEnds;

    Worker(
            String id,
            String service,
            String rack,
            Sizes sizes,
            Record record,
            Consumer<String> note) {
        mId = id;
        mService = service;
        mRack = rack;
        mSizes = sizes;
        mRecord = record;
        mNote = note;
    }

    String id() {
        return mId;
    }

    void start(String host, int port, String controlAddress) throws IOException {
        mServer = Http.serve(host, port, this::handle);
        Http.THREADS.execute(() -> beat(host + ":" + port, controlAddress));
        Http.THREADS.execute(this::tick);
    }

    /** From now on a share of the orders gets no answer and is carried out 2 to 12 s later. */
    void setAppliedLate(double share) {
        mLateShare = share;
    }

    /**
     * From now on the response to a listing under a new fencing token is overtaken on another
     * connection: it arrives after the next listing that shows a start and an end that it lacks,
     * or after some time if there is none.
     */
    void setOvertaken(int maximumMs) {
        mOvertakenMs = maximumMs;
    }

    /** Sets the length of the checkpoints that runs write from now on, at least 16. */
    void setCheckpointLength(int length) {
        mCheckpointLength = length;
    }

    /** Ends the minion for good, with all that it runs. */
    void crash() {
        mClosed = true;
        mServer.stop(0);
        synchronized (this) {
            mRecord.line("%s is gone with %s", mId, mRunning.keySet());
            mRunning.clear();
            mUsedCpu = 0;
        }
    }

    void close() {
        mClosed = true;
    }

    private void beat(String address, String controlAddress) {
        for (long sequence = 1; !mClosed; sequence++) {
            String body =
                    String.format(
                            "{\"service\":\"%s\",\"address\":\"%s\",\"zone\":\"north\","
                                    + "\"version\":\"v1\",\"slots\":8,\"state\":\"ready\","
                                    + "\"cold_left_ms\":0,\"capacity\":{\"cpu\":%d,\"mem_mb\":%d,"
                                    + "\"gpu\":0},\"labels\":[\"a\",\"%s\"],\"clock_ms\":%d,"
                                    + "\"seq\":%d,\"born\":%d}",
                            mService, address, CPU, MEMORY_MB, mRack, clock(), sequence, mBorn);
            Http.call(
                    "POST",
                    controlAddress,
                    "/instances/" + mId + "/heartbeat",
                    "",
                    body,
                    1_000);
            Clock.sleep(BEAT_MS);
        }
    }

    private void tick() {
        while (!mClosed) {
            synchronized (this) {
                advance();
            }
            Clock.sleep(TICK_MS);
        }
    }

    private long clock() {
        return Clock.nowMs() - mClockZeroMs;
    }

    private void advance() {
        long nowMs = Clock.nowMs();
        if (nowMs == mAdvancedMs) {
            return;
        }
        mAdvancedMs = nowMs;
        for (Run run : new ArrayList<>(mRunning.values())) {
            long resumedMs = mResumedMs.getOrDefault(key(run.mTask, run.mNumber), 0L);
            long workedMs = run.doneMs(nowMs, resumedMs);
            run.mSavedMs = Math.max(run.mSavedMs, workedMs / CHECKPOINT_MS * CHECKPOINT_MS);
            if (nowMs >= run.mStopAtMs) {
                run.mSavedMs = workedMs;
                end(run, "stopped");
            } else if (clock() >= mDeadline) {
                end(run, "lapsed");
            } else if (run.mWorkMs >= 0 && workedMs >= run.mWorkMs) {
                end(run, run.mEnd);
            }
        }
    }

    private void end(Run run, String how) {
        mRunning.remove(key(run.mTask, run.mNumber));
        mUsedCpu -= mSizes.cpu(run.mTask);
        mHighestEnded.merge(run.mTask, run.mNumber, Math::max);
        String saved = how.equals("done") ? "" : checkpoint(run.mSavedMs);
        mEnds.add(
                new End(mEnds.size() + 1, run.mTask, run.mNumber, how, saved, Clock.nowMs()));
        mRecord.line("%s: run %s #%d ended %s", mId, run.mTask, run.mNumber, how);
        mNote.accept("end " + run.mTask + " " + run.mNumber + " " + how);
        notifyAll();
    }

    private static String key(String task, int number) {
        return task + "#" + number;
    }

    private String checkpoint(long savedMs) {
        return savedMs == 0
                ? ""
                : String.format("%08x", savedMs) + "7a21d94b".repeat(mCheckpointLength / 8 - 1);
    }

    private void handle(HttpExchange exchange) throws Exception {
        JsonNode body = Http.body(exchange);
        String expected = exchange.getRequestHeaders().getFirst("X-Hickorycleat-Expect-Instance");
        if (expected != null && !expected.equals(mId)) {
            Http.answer(exchange, 421, "{}");
            return;
        }
        String path = exchange.getRequestURI().getPath();
        ThreadLocalRandom random = ThreadLocalRandom.current();
        boolean order = path.equals("/run-start") || path.equals("/run-stop");
        if (order && random.nextDouble() < mLateShare) {
            mRecord.line(
                    "%s: %s of %s #%d gets no answer and comes late",
                    mId, path, body.path("task").asText(), body.path("run").asInt());
            Clock.sleep(random.nextLong(2_000, 12_000));
            mRecord.line(
                    "%s: late %s of %s #%d: %s",
                    mId,
                    path,
                    body.path("task").asText(),
                    body.path("run").asInt(),
                    execute(path, body));
            exchange.close();
            return;
        }
        boolean newToken;
        int starts;
        int ends;
        Answer answer;
        synchronized (this) {
            newToken = body.path("fencing_token").asLong(0) > mFence;
            answer = execute(path, body);
            starts = mStarts;
            ends = mEnds.size();
        }
        if (path.equals("/hold") && newToken && mOvertakenMs > 0) {
            awaitOvertaking(starts, ends);
        }
        Http.answer(exchange, answer.status(), answer.body());
    }

    private void awaitOvertaking(int starts, int ends) throws InterruptedException {
        long untilMs = Clock.nowMs() + mOvertakenMs;
        synchronized (this) {
            while (Clock.nowMs() < untilMs && (mListedStarts <= starts || mListedEnds <= ends)) {
                wait(5);
            }
            mRecord.line(
                    "%s: a response is overtaken (starts %d, listed now %d; ends %d, listed now %d)",
                    mId, starts, mListedStarts, ends, mListedEnds);
        }
        Clock.sleep(OVERTAKEN_BY_MS);
    }

    private record Answer(int status, String body) {}

    private Answer execute(String path, JsonNode body) throws Exception {
        String answer;
        int status = 200;
        synchronized (this) {
            if (body.path("fencing_token").asLong(0) < mFence) {
                return new Answer(409, rejection("fence"));
            }
            mFence = body.path("fencing_token").asLong(0);
            if (body.has("deadline_ms")) {
                long limit = clock() + MAXIMUM_HOLD_MS;
                mDeadline =
                        Math.max(mDeadline, Math.min(limit, body.path("deadline_ms").asLong()));
            }
            switch (path) {
                case "/run-start" -> {
                    String reason = start(body);
                    status = reason.isEmpty() ? 200 : 409;
                    answer = reason.isEmpty() ? clockBody() : rejection(reason);
                }
                case "/run-stop" -> {
                    stop(body.path("task").asText(), body.path("run").asInt());
                    answer = clockBody();
                }
                case "/pace" -> answer = clockBody();
                case "/hold" -> answer = hold(body);
                default -> {
                    status = 404;
                    answer = "{}";
                }
            }
        }
        return new Answer(status, answer);
    }

    private String clockBody() {
        return "{\"clock_ms\":" + clock() + "}";
    }

    private String rejection(String reason) {
        return "{\"clock_ms\":" + clock() + ",\"reason\":\"" + reason + "\"}";
    }

    private String start(JsonNode body) throws IOException {
        String task = body.path("task").asText();
        int number = body.path("run").asInt();
        if (mRunning.containsKey(key(task, number))) {
            return "";
        }
        if (number <= mHighestEnded.getOrDefault(task, 0)) {
            return "old";
        }
        if (mDeadline <= clock()) {
            return "late";
        }
        if (usedCpu() + mSizes.cpu(task) > CPU) {
            return "room";
        }
        JsonNode spec = Http.JSON.readTree(body.path("task_spec").asText());
        String checkpoint = body.path("checkpoint").asText("");
        long resumedMs =
                checkpoint.isEmpty() ? 0 : Long.parseLong(checkpoint.substring(0, 8), 16);
        Run run =
                new Run(
                        task,
                        number,
                        spec.path("run_ms").asLong(),
                        number <= spec.path("failing_runs").asInt(0) ? "failed" : "done",
                        resumedMs);
        mResumedMs.put(key(task, number), resumedMs);
        mRunning.put(key(task, number), run);
        mUsedCpu += mSizes.cpu(task);
        mStarts++;
        mRecord.line("%s: run %s #%d started", mId, task, number);
        mNote.accept("start " + task + " " + number);
        return "";
    }

    private void stop(String task, int number) {
        Run run = mRunning.get(key(task, number));
        mRecord.line("%s: stop of %s #%d", mId, task, number);
        if (run != null) {
            run.mStopAtMs = Math.min(run.mStopAtMs, Clock.nowMs() + STOP_MS);
        } else {
            mHighestEnded.merge(task, number, Math::max);
        }
    }

    private String hold(JsonNode body) throws Exception {
        long cursor = Math.min(body.path("ack_cursor").asLong(0), mEnds.size());
        for (long number = mAcknowledged + 1; number <= cursor; number++) {
            End end = mEnds.get((int) number - 1);
            mNote.accept("noted " + end.task() + " " + end.run() + " " + end.how());
        }
        if (cursor > mAcknowledged) {
            mRecord.line("%s: ends up to %d are taken note of", mId, cursor);
        }
        mAcknowledged = Math.max(mAcknowledged, cursor);
        long untilMs = Clock.nowMs() + Math.min(2_000, body.path("wait_ms").asLong(0));
        while (mEnds.size() <= mAcknowledged && Clock.nowMs() < untilMs) {
            wait(Math.max(1, untilMs - Clock.nowMs()));
        }
        advance();
        List<Object> running = new ArrayList<>();
        long nowMs = Clock.nowMs();
        for (Run run : mRunning.values()) {
            long resumedMs = mResumedMs.getOrDefault(key(run.mTask, run.mNumber), 0L);
            long percent =
                    run.mWorkMs < 0
                            ? 100
                            : Math.min(99, 100 * run.doneMs(nowMs, resumedMs) / run.mWorkMs);
            running.add(
                    List.of(
                            run.mTask,
                            run.mNumber,
                            checkpoint(run.mSavedMs),
                            percent,
                            mSizes.cpu(run.mTask)));
        }
        List<Object> ended = new ArrayList<>();
        for (int i = (int) mAcknowledged; i < mEnds.size() && ended.size() < ENDS_AT_A_TIME; i++) {
            End end = mEnds.get(i);
            ended.add(List.of(end.number(), end.task(), end.run(), end.how(), end.saved()));
        }
        mListedStarts = mStarts;
        mListedEnds = mEnds.size();
        notifyAll();
        Map<String, Object> listing = new LinkedHashMap<>();
        listing.put("born", mBorn);
        listing.put("clock_ms", clock());
        listing.put("running", running);
        listing.put("ended", ended);
        return Http.JSON.writeValueAsString(listing);
    }

    /** Returns the tasks that run now, as the minion sees them. */
    synchronized List<String> running() {
        advance();
        return mRunning.values().stream().map(run -> run.mTask).toList();
    }

    /** Returns the processors in use, in thousandths. */
    synchronized int usedCpu() {
        return mUsedCpu;
    }

    static int capacity() {
        return CPU;
    }
}
