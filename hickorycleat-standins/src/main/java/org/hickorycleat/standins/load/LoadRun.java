package org.hickorycleat.standins.load;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.UUID;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentSkipListMap;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.locks.LockSupport;
import okhttp3.Call;
import okhttp3.Callback;
import okhttp3.ConnectionPool;
import okhttp3.Dispatcher;
import okhttp3.MediaType;
import okhttp3.OkHttpClient;
import okhttp3.Request;
import okhttp3.RequestBody;
import okhttp3.Response;
import org.HdrHistogram.ConcurrentHistogram;

/** Runs a load in an open loop: a slow response does not delay the next request. */
final class LoadRun {
    private static final MediaType BYTES = MediaType.get("application/octet-stream");
    private static final long MAXIMUM_LATENCY_MICROS = TimeUnit.MINUTES.toMicros(2);
    private static final int PRECISION_DIGITS = 3;
    private static final int MAXIMUM_ATTEMPTS = 4;
    private static final long RETRY_DELAY_MS = 200;
    private static final int FIRST_NON_SUCCESS_STATUS = 300;

    private final LoadPlan mPlan;
    private final OkHttpClient mClient;
    private final String mRunId = UUID.randomUUID().toString().substring(0, 8);
    private final Map<String, String> mOutcomes = new ConcurrentHashMap<>();
    private final Map<String, AtomicInteger> mResultCodes = new ConcurrentSkipListMap<>();
    private final ConcurrentHistogram mDoneLatencies = histogram();
    private final ConcurrentHistogram mNotDoneLatencies = histogram();
    private final AtomicInteger mWrongResponses = new AtomicInteger();
    private final AtomicInteger mServed = new AtomicInteger();
    private final CountDownLatch mUnfinished;
    private final int mRequestCount;
    private volatile double mElapsedSeconds;
    private volatile long mLastFailureNanos;
    private volatile long mFirstFailureNanos;

    LoadRun(LoadPlan plan) {
        mPlan = plan;
        mRequestCount = (int) Math.round(plan.ratePerSecond() * plan.seconds());
        mUnfinished = new CountDownLatch(mRequestCount);
        Dispatcher dispatcher = new Dispatcher();
        dispatcher.setMaxRequests(Integer.MAX_VALUE);
        dispatcher.setMaxRequestsPerHost(Integer.MAX_VALUE);
        mClient =
                new OkHttpClient.Builder()
                        .dispatcher(dispatcher)
                        .connectionPool(new ConnectionPool(2_000, 1, TimeUnit.MINUTES))
                        .retryOnConnectionFailure(false)
                        .callTimeout(plan.deadlineMs() + 5_000L, TimeUnit.MILLISECONDS)
                        .readTimeout(0, TimeUnit.MILLISECONDS)
                        .build();
    }

    void execute() throws InterruptedException {
        long startNanos = System.nanoTime();
        for (int i = 0; i < mRequestCount; i++) {
            long dueNanos = startNanos + (long) (i * 1e9 / mPlan.ratePerSecond());
            while (System.nanoTime() < dueNanos) {
                LockSupport.parkNanos(dueNanos - System.nanoTime());
            }
            send(i, 0, dueNanos);
        }
        if (!mUnfinished.await(mPlan.deadlineMs() + 30_000L, TimeUnit.MILLISECONDS)) {
            System.err.println("event=requests_without_end count=" + mUnfinished.getCount());
        }
        mElapsedSeconds = (System.nanoTime() - startNanos) / 1e9;
    }

    List<String> summary() {
        List<String> lines = new ArrayList<>();
        add(lines, "sent", mRequestCount);
        for (String outcome : List.of("done", "not-run", "unknown", "no-answer")) {
            add(lines, outcome.replace('-', '_'), count(outcome));
        }
        add(lines, "served", mServed.get());
        add(lines, "wrong_answers", mWrongResponses.get());
        add(lines, "elapsed_seconds", String.format(Locale.ROOT, "%.2f", mElapsedSeconds));
        add(lines, "served_per_second", (long) (mServed.get() / mPlan.seconds()));
        addLatency(lines, "latency", mDoneLatencies);
        addLatency(lines, "refusal", mNotDoneLatencies);
        add(lines, "failure_window_ms", (mLastFailureNanos - mFirstFailureNanos) / 1_000_000);
        mResultCodes.forEach((code, number) -> add(lines, "result_" + code, number.get()));
        return lines;
    }

    List<String> outcomeLines() {
        return mOutcomes.entrySet().stream()
                .map(entry -> entry.getKey() + " " + entry.getValue())
                .sorted()
                .toList();
    }

    private void send(int number, int attempt, long dueNanos) {
        String loadId = mPlan.name() + "-" + mRunId + "-" + number;
        byte[] body = body(loadId);
        String entry = mPlan.entries().get((number + attempt) % mPlan.entries().size());
        Call call = mClient.newCall(request(entry, loadId, body));
        call.enqueue(
                new Callback() {
                    @Override
                    public void onFailure(Call failedCall, IOException cause) {
                        recordEnd(number, attempt, dueNanos, "no-answer", "none");
                    }

                    @Override
                    public void onResponse(Call completedCall, Response response) {
                        handleResponse(number, attempt, dueNanos, response, loadId, body);
                    }
                });
    }

    private void handleResponse(
            int number, int attempt, long dueNanos, Response response, String loadId, byte[] sent) {
        String outcome = header(response, "Hickorycleat-Outcome").orElse("no-answer");
        String code = header(response, "Hickorycleat-Result-Code").orElse("none");
        try (response) {
            byte[] received = response.body().bytes();
            boolean served = outcome.equals("done") && response.code() < FIRST_NON_SUCCESS_STATUS;
            if (served && !isMatchingResponse(response, loadId, sent, received)) {
                mWrongResponses.incrementAndGet();
            }
            if (served) {
                mServed.incrementAndGet();
            }
        } catch (IOException e) {
            outcome = "no-answer";
        }
        recordEnd(number, attempt, dueNanos, outcome, code);
    }

    private boolean isMatchingResponse(
            Response response, String loadId, byte[] sent, byte[] received) {
        boolean sameBody = mPlan.method().equals("GET") || Arrays.equals(sent, received);
        return sameBody && loadId.equals(response.header("Load-Id"));
    }

    private void recordEnd(int number, int attempt, long dueNanos, String outcome, String code) {
        long nowNanos = System.nanoTime();
        mResultCodes.computeIfAbsent(code, key -> new AtomicInteger()).incrementAndGet();
        if (!outcome.equals("done")) {
            recordFailure(nowNanos);
        }
        boolean retry = mPlan.keyed() && !outcome.equals("done") && attempt + 1 < MAXIMUM_ATTEMPTS;
        if (retry) {
            CompletableFuture.delayedExecutor(RETRY_DELAY_MS, TimeUnit.MILLISECONDS)
                    .execute(() -> send(number, attempt + 1, dueNanos));
            return;
        }
        String loadId = mPlan.name() + "-" + mRunId + "-" + number;
        mOutcomes.put(loadId, outcome);
        long micros = Math.min(MAXIMUM_LATENCY_MICROS, (nowNanos - dueNanos) / 1_000);
        // Excludes the warm-up, because a JVM that has just started adds latency.
        if (number >= mPlan.ratePerSecond() * mPlan.warmUpSeconds()) {
            (outcome.equals("done") ? mDoneLatencies : mNotDoneLatencies).recordValue(micros);
        }
        mUnfinished.countDown();
    }

    private synchronized void recordFailure(long nanos) {
        if (mFirstFailureNanos == 0) {
            mFirstFailureNanos = nanos;
        }
        mLastFailureNanos = nanos;
    }

    private Request request(String entry, String loadId, byte[] body) {
        Request.Builder builder =
                new Request.Builder()
                        .url("http://" + entry + mPlan.path())
                        .header("Load-Id", loadId)
                        .header("Hickorycleat-Criticality", mPlan.criticality())
                        .header("Hickorycleat-Deadline-Ms", Integer.toString(mPlan.deadlineMs()));
        if (!mPlan.team().isEmpty()) {
            builder.header("Hickorycleat-Team", mPlan.team());
        }
        if (mPlan.keyed()) {
            builder.header("Idempotency-Key", loadId);
        }
        return mPlan.method().equals("GET")
                ? builder.build()
                : builder.method(mPlan.method(), RequestBody.create(body, BYTES)).build();
    }

    private byte[] body(String loadId) {
        byte[] body = new byte[mPlan.bodyBytes()];
        byte[] pattern = loadId.getBytes(StandardCharsets.UTF_8);
        for (int i = 0; i < body.length; i++) {
            body[i] = pattern[i % pattern.length];
        }
        return body;
    }

    private long count(String outcome) {
        return mOutcomes.values().stream().filter(outcome::equals).count();
    }

    private void addLatency(List<String> lines, String name, ConcurrentHistogram histogram) {
        if (histogram.getTotalCount() == 0) {
            return;
        }
        add(lines, name + "_p50_ms", millis(histogram.getValueAtPercentile(50)));
        add(lines, name + "_p99_ms", millis(histogram.getValueAtPercentile(99)));
    }

    private void add(List<String> lines, String key, Object value) {
        lines.add(mPlan.name() + "." + key + "=" + value);
    }

    private static String millis(long micros) {
        return String.format(Locale.ROOT, "%.3f", micros / 1e3);
    }

    private static Optional<String> header(Response response, String name) {
        return Optional.ofNullable(response.header(name));
    }

    private static ConcurrentHistogram histogram() {
        return new ConcurrentHistogram(MAXIMUM_LATENCY_MICROS, PRECISION_DIGITS);
    }
}
