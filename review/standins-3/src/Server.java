import com.sun.net.httpserver.HttpExchange;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Timer;
import java.util.TimerTask;

/** A server of the platform that runs tasks under a lease. */
final class Server {
    private static final long LATE_MINIMUM_MS = 2_000;
    private static final int LATE_RANGE_MS = 10_000;

    final String mName;
    final Servers mServers;
    private final String mControl;
    private final String mAddress;
    private final String mZone;
    private final String mRack;
    private final int mCpu;
    private final Random mRandom;
    private final HttpClient mHttpClient =
            HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();
    private final Timer mTimer = new Timer(true);

    private long mBornMs;
    private long mClockStartNanos;
    private long mToken;
    private long mDeadlineMs;
    private long mLastEnd;
    private long mCursor;
    private long mSequence;
    private boolean mDown;
    private boolean mStalled;
    private boolean mCut;
    private long mFirstBeatMs;
    private Runnable mOnStart = () -> {};
    private boolean mDraining;
    private boolean mGuards = true;
    private double mLateShare;
    private final Map<String, Run> mRunning = new LinkedHashMap<>();
    private final List<Run> mEnded = new ArrayList<>();
    private final Map<String, Integer> mHighest = new HashMap<>();

    Server(
            Servers servers,
            String name,
            InetSocketAddress app,
            InetSocketAddress control,
            String zone,
            String rack,
            int cpu,
            long seed)
            throws IOException {
        mServers = servers;
        mName = name;
        mAddress = app.getAddress().getHostAddress() + ":" + app.getPort();
        mControl = control.getAddress().getHostAddress() + ":" + control.getPort();
        mZone = zone;
        mRack = rack;
        mCpu = cpu;
        mRandom = new Random(seed);
        startLife();
        Http.serve(app, this::handle);
        mTimer.schedule(
                new TimerTask() {
                    @Override
                    public void run() {
                        beat();
                    }
                },
                100,
                1_500);
    }

    private void startLife() {
        mBornMs = System.currentTimeMillis();
        mClockStartNanos = System.nanoTime();
        mToken = 0;
        mDeadlineMs = 0;
        mLastEnd = 0;
        mCursor = 0;
        mSequence = 0;
        mDraining = false;
        mEnded.clear();
        mHighest.clear();
    }

    private long clockMs() {
        return (System.nanoTime() - mClockStartNanos) / 1_000_000;
    }

    List<Run> running() {
        return new ArrayList<>(mRunning.values());
    }

    boolean isStalled() {
        return mStalled;
    }

    void setStalled(boolean stalled) {
        mStalled = stalled;
    }

    void setDraining() {
        mDraining = true;
        new Thread(this::beat).start();
    }

    void setGuards(boolean guards) {
        mGuards = guards;
    }

    void setLateShare(double share) {
        mLateShare = share;
    }

    /** Crashes; nothing runs and nothing is remembered. */
    void crash() {
        synchronized (mServers) {
            mDown = true;
            long nowMs = mServers.mRecord.nowMs();
            for (Run run : running()) {
                run.mEndMs = nowMs;
                run.mHow = "crashed";
                mServers.mRecord.line("end " + run);
            }
            mRunning.clear();
            mServers.notifyAll();
            mServers.mRecord.line("crash " + mName);
        }
    }

    /** Starts again under the same id. */
    void restart() {
        synchronized (mServers) {
            startLife();
            mDown = false;
            mServers.mRecord.line("restart " + mName);
        }
        beat();
    }

    /** Cuts the server off, or ends the cut; what runs goes on under its lease. */
    void setCut(boolean cut) {
        synchronized (mServers) {
            mCut = cut;
            mServers.mRecord.line((cut ? "cut " : "cut ended ") + mName);
            mServers.notifyAll();
        }
    }

    /** Calls an action with each start. */
    void setOnStart(Runnable action) {
        mOnStart = action;
    }

    /** Starts again under the same id, with the first heartbeat after a time. */
    void restart(long firstBeatAfterMs) {
        synchronized (mServers) {
            startLife();
            mDown = false;
            mFirstBeatMs = mServers.mRecord.nowMs() + firstBeatAfterMs;
            mServers.mRecord.line("restart " + mName);
        }
        sleep(firstBeatAfterMs + 5);
        beat();
    }

    boolean isDown() {
        return mDown;
    }

    int cpu() {
        return mCpu;
    }

    int freeCpu() {
        return mCpu - mRunning.values().stream().mapToInt(run -> run.mStep.mCpu).sum();
    }

    void expire(long nowMs) {
        if (clockMs() <= mDeadlineMs) {
            return;
        }
        for (Run run : mEnded) {
            if (run.mAcknowledgedMs < 0) {
                run.mLapsedBeforeAck = true;
            }
        }
        for (Run run : running()) {
            end(run, "lapsed", nowMs);
        }
    }

    void end(Run run, String how, long nowMs) {
        mRunning.remove(run.mTask);
        run.mEndMs = nowMs;
        run.mHow = how;
        run.mEndNumber = ++mLastEnd;
        mHighest.merge(run.mTask, run.mNumber, Math::max);
        mEnded.add(run);
        mServers.mRecord.line("end " + run);
        mServers.notifyAll();
    }

    private void beat() {
        String body;
        synchronized (mServers) {
            if (mDown || mCut || mServers.mRecord.nowMs() < mFirstBeatMs) {
                return;
            }
            body =
                    "{\"service\":\"svc\",\"address\":\""
                            + mAddress
                            + "\",\"zone\":\""
                            + mZone
                            + "\",\"version\":\"v1\",\"slots\":8,\"state\":\""
                            + (mDraining ? "draining" : "ready")
                            + "\",\"cold_left_ms\":0,\"capacity\":{\"cpu\":"
                            + mCpu
                            + ",\"mem_mb\":64000,\"gpu\":0},\"labels\":[\"a\",\""
                            + mRack
                            + "\"],\"clock_ms\":"
                            + clockMs()
                            + (mDraining ? ",\"remaining_ms\":2000" : "")
                            + ",\"born\":"
                            + mBornMs
                            + ",\"seq\":"
                            + ++mSequence
                            + "}";
        }
        HttpRequest request =
                HttpRequest.newBuilder(
                                URI.create("http://" + mControl + "/instances/" + mName + "/heartbeat"))
                        .timeout(Duration.ofSeconds(1))
                        .header("Content-Type", "application/json")
                        .POST(HttpRequest.BodyPublishers.ofString(body))
                        .build();
        try {
            mHttpClient.send(request, HttpResponse.BodyHandlers.discarding());
        } catch (IOException e) {
            // The next heartbeat follows.
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void handle(HttpExchange exchange) throws IOException {
        String path = exchange.getRequestURI().getPath();
        String text = new String(exchange.getRequestBody().readAllBytes(), StandardCharsets.UTF_8);
        Map<String, Object> body = Json.object(text);
        String expected = exchange.getRequestHeaders().getFirst("X-Hickorycleat-Expect-Instance");
        if (mDown) {
            exchange.close();
            return;
        }
        if (mCut) {
            awaitEndOfCut();
            exchange.close();
            return;
        }
        boolean late = mLateShare > 0 && mRandom.nextDouble() < mLateShare;
        if (late && !path.equals("/hold")) {
            long delayMs = LATE_MINIMUM_MS + mRandom.nextInt(LATE_RANGE_MS);
            mServers.mRecord.line("late " + mName + " " + path + " " + text + " in " + delayMs);
            mTimer.schedule(
                    new TimerTask() {
                        @Override
                        public void run() {
                            synchronized (mServers) {
                                if (!mDown) {
                                    execute(path, body, expected);
                                }
                            }
                        }
                    },
                    delayMs);
            sleep(400);
            exchange.close();
            return;
        }
        Object[] answer;
        try {
            answer = path.equals("/hold") ? hold(body) : null;
            if (answer == null) {
                synchronized (mServers) {
                    answer = execute(path, body, expected);
                }
            }
        } catch (InterruptedException e) {
            exchange.close();
            return;
        }
        if (mCut) {
            awaitEndOfCut();
        }
        if (mDown || mCut) {
            exchange.close();
            return;
        }
        Http.respond(exchange, (Integer) answer[0], (String) answer[1]);
    }

    private void awaitEndOfCut() {
        synchronized (mServers) {
            while (mCut) {
                try {
                    mServers.wait(1_000);
                } catch (InterruptedException e) {
                    Thread.currentThread().interrupt();
                    return;
                }
            }
        }
    }

    private static void sleep(long ms) {
        try {
            Thread.sleep(ms);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private Object[] answer(int status, String reason) {
        return new Object[] {
            status,
            "{\"clock_ms\":"
                    + clockMs()
                    + (reason.isEmpty() ? "" : ",\"reason\":\"" + reason + "\"")
                    + "}"
        };
    }

    private Object[] execute(String path, Map<String, Object> body, String expected) {
        if (expected != null && !expected.equals(mName)) {
            return answer(421, "");
        }
        long token = Json.number(body, "fencing_token", 0);
        if (token < mToken) {
            return answer(409, "fence");
        }
        mToken = token;
        String task = Json.text(body, "task");
        int number = (int) Json.number(body, "run", 0);
        long nowMs = mServers.mRecord.nowMs();
        return switch (path) {
            case "/run-start" -> start(task, number, body, nowMs);
            case "/run-stop" -> {
                mServers.mRecord.line("stop " + mName + " " + task + " run " + number);
                Run run = mRunning.get(task);
                if (run != null && run.mNumber <= number) {
                    run.mStopAtMs =
                            Math.min(
                                    run.mStopAtMs,
                                    nowMs + mRandom.nextInt((int) Servers.STOP_GRACE_MS));
                }
                mHighest.merge(task, number, Math::max);
                yield answer(200, "");
            }
            case "/pace" -> answer(200, "");
            default -> answer(404, "");
        };
    }

    private void extend(long deadlineMs) {
        mDeadlineMs =
                Math.max(mDeadlineMs, Math.min(deadlineMs, clockMs() + Servers.MAXIMUM_HOLD_MS));
    }

    private Object[] start(String task, int number, Map<String, Object> body, long nowMs) {
        long deadlineMs = Json.number(body, "deadline_ms", 0);
        String label = task + " run " + number + " on " + mName;
        if (deadlineMs <= clockMs()) {
            return answer(409, "late");
        }
        extend(deadlineMs);
        Run present = mRunning.get(task);
        if (present != null && present.mNumber == number) {
            return answer(200, "");
        }
        if (present != null || number <= mHighest.getOrDefault(task, 0)) {
            return answer(409, "old");
        }
        String[] parts = task.split("\\.");
        Job job = mServers.mJobs.get(parts[0]);
        if (job == null) {
            mServers.violation("UNASKED", label + ": no such job");
            return answer(400, "");
        }
        Job.Step step = job.mSteps.get(Integer.parseInt(parts[2]));
        if (freeCpu() < step.mCpu) {
            if (mGuards) {
                return answer(409, "room");
            }
            mServers.violation("LIMIT", label + ": over capacity, free " + freeCpu());
        }
        String stepName = task.substring(0, task.lastIndexOf('.'));
        long same = mRunning.values().stream().filter(r -> r.step().equals(stepName)).count();
        if (step.mMaximumPerServer > 0 && same >= step.mMaximumPerServer) {
            mServers.violation("ROUTE", label + ": beyond max_per_server");
        }
        String checkpoint = Json.text(body, "checkpoint");
        long resumed = 0;
        if (!checkpoint.isEmpty()) {
            resumed = Long.parseLong(checkpoint.substring(0, 8), 16);
            if (!checkpoint.equals(Run.checkpoint(task, step.mGang, resumed, step.mCheckpointLength))) {
                mServers.violation("UNASKED", label + ": checkpoint of another task");
            }
        }
        if (!Json.text(body, "task_spec").equals(job.mSpec)) {
            mServers.violation("UNASKED", label + ": other task_spec");
        }
        Run run = new Run(task, number, job, step, mName, nowMs, resumed);
        mRunning.put(task, run);
        mServers.mRuns.add(run);
        mOnStart.run();
        mServers.mRecord.line(
                "start " + label + " token " + mToken + " checkpoint of " + checkpoint.length());
        return answer(200, "");
    }

    private Object[] hold(Map<String, Object> body) throws InterruptedException {
        synchronized (mServers) {
            long token = Json.number(body, "fencing_token", 0);
            if (token < mToken) {
                return answer(409, "fence");
            }
            mToken = token;
            if (body.containsKey("deadline_ms")) {
                extend(Json.number(body, "deadline_ms", 0));
            }
            long nowMs = mServers.mRecord.nowMs();
            mCursor = Math.max(mCursor, Math.min(mLastEnd, Json.number(body, "ack_cursor", 0)));
            for (Run run : mEnded) {
                if (run.mEndNumber <= mCursor && run.mAcknowledgedMs < 0) {
                    run.mAcknowledgedMs = nowMs;
                }
            }
            mEnded.removeIf(run -> run.mEndNumber <= mCursor);
            long born = mBornMs;
            long untilMs = nowMs + Json.number(body, "wait_ms", 0);
            while (mEnded.isEmpty() && mServers.mRecord.nowMs() < untilMs && born == mBornMs && !mDown && !mCut) {
                mServers.wait(Math.max(1, untilMs - mServers.mRecord.nowMs()));
            }
            return new Object[] {200, listing()};
        }
    }

    private String listing() {
        StringBuilder text = new StringBuilder("{\"born\":" + mBornMs);
        text.append(",\"clock_ms\":" + clockMs() + ",\"running\":[");
        String separator = "";
        for (Run run : mRunning.values()) {
            long done = run.mResumedMs + run.mWorkedMs;
            long percent =
                    run.mStep.mPerpetual ? 100 : Math.min(99, 100 * done / run.mStep.mDurationMs);
            text.append(separator + "[\"" + run.mTask + "\"," + run.mNumber + ",\"" + saved(run))
                    .append("\"," + percent + "," + run.mStep.mCpu + "]");
            separator = ",";
        }
        text.append("],\"ended\":[");
        separator = "";
        int count = 0;
        for (Run run : mEnded) {
            if (count++ == 500) {
                break;
            }
            if (run.mListedMs < 0) {
                run.mListedMs = mServers.mRecord.nowMs();
            }
            text.append(separator + "[" + run.mEndNumber + ",\"" + run.mTask + "\"," + run.mNumber)
                    .append(",\"" + run.mHow + "\",\"" + saved(run) + "\"]");
            separator = ",";
        }
        return text.append("]}").toString();
    }

    private static String saved(Run run) {
        if (!run.mStep.mSaves || run.mHow.equals("done")) {
            return "";
        }
        long worked = run.mHow.equals("stopped") ? run.mWorkedMs : run.mWorkedMs / 1_000 * 1_000;
        long total = run.mResumedMs + worked;
        return total == 0 ? "" : Run.checkpoint(run.mTask, run.mStep.mGang, total, run.mStep.mCheckpointLength);
    }
}
