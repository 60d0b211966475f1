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

/** Runs one load in an open loop: a slow answer does not delay the next request. */
final class LoadRun {
    private static final MediaType BYTES = MediaType.get("application/octet-stream");
    private static final long HIGHEST_MICROS = TimeUnit.MINUTES.toMicros(2);
    private static final int PRECISION_DIGITS = 3;
    private static final int MAXIMUM_TRIES = 4;
    private static final long REPEAT_DELAY_MS = 200;
    private static final int SUCCESS_LIMIT = 300;

    private final LoadPlan mPlan;
    private final OkHttpClient mClient;
    private final String mRun = UUID.randomUUID().toString().substring(0, 8);
    private final Map<String, String> mOutcomes = new ConcurrentHashMap<>();
    private final Map<String, AtomicInteger> mResultCodes = new ConcurrentSkipListMap<>();
    private final ConcurrentHistogram mDone = histogram();
    private final ConcurrentHistogram mRefused = histogram();
    private final AtomicInteger mWrongAnswers = new AtomicInteger();
    private final AtomicInteger mServed = new AtomicInteger();
    private final CountDownLatch mOpen;
    private final int mTotal;
    private volatile double mElapsedSeconds;
    private volatile long mLastFailureNanos;
    private volatile long mFirstFailureNanos;

    LoadRun(LoadPlan plan) {
        mPlan = plan;
        mTotal = (int) Math.round(plan.ratePerSecond() * plan.seconds());
        mOpen = new CountDownLatch(mTotal);
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
        long start = System.nanoTime();
        for (int i = 0; i < mTotal; i++) {
            long due = start + (long) (i * 1e9 / mPlan.ratePerSecond());
            while (System.nanoTime() < due) {
                LockSupport.parkNanos(due - System.nanoTime());
            }
            send(i, 0, due);
        }
        if (!mOpen.await(mPlan.deadlineMs() + 30_000L, TimeUnit.MILLISECONDS)) {
            System.err.println("event=requests_without_end count=" + mOpen.getCount());
        }
        mElapsedSeconds = (System.nanoTime() - start) / 1e9;
    }

    List<String> summary() {
        List<String> lines = new ArrayList<>();
        add(lines, "sent", mTotal);
        for (String outcome : List.of("done", "not-run", "unknown", "no-answer")) {
            add(lines, outcome.replace('-', '_'), count(outcome));
        }
        add(lines, "served", mServed.get());
        add(lines, "wrong_answers", mWrongAnswers.get());
        add(lines, "elapsed_seconds", String.format(Locale.ROOT, "%.2f", mElapsedSeconds));
        add(lines, "served_per_second", (long) (mServed.get() / mPlan.seconds()));
        addLatency(lines, "latency", mDone);
        addLatency(lines, "refusal", mRefused);
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

    private void send(int number, int attempt, long startedNanos) {
        String load = mPlan.name() + "-" + mRun + "-" + number;
        byte[] body = body(load);
        String entry = mPlan.entries().get((number + attempt) % mPlan.entries().size());
        Call call = mClient.newCall(request(entry, load, body));
        call.enqueue(
                new Callback() {
                    @Override
                    public void onFailure(Call failed, IOException cause) {
                        ended(number, attempt, startedNanos, "no-answer", "none");
                    }

                    @Override
                    public void onResponse(Call answered, Response response) {
                        accept(number, attempt, startedNanos, response, load, body);
                    }
                });
    }

    private void accept(
            int number,
            int attempt,
            long startedNanos,
            Response response,
            String load,
            byte[] sent) {
        String outcome = header(response, "Hickorycleat-Outcome").orElse("no-answer");
        String code = header(response, "Hickorycleat-Result-Code").orElse("none");
        try (response) {
            byte[] received = response.body().bytes();
            boolean served = outcome.equals("done") && response.code() < SUCCESS_LIMIT;
            if (served && !isOwnAnswer(response, load, sent, received)) {
                mWrongAnswers.incrementAndGet();
            }
            if (served) {
                mServed.incrementAndGet();
            }
        } catch (IOException e) {
            outcome = "no-answer";
        }
        ended(number, attempt, startedNanos, outcome, code);
    }

    private boolean isOwnAnswer(Response response, String load, byte[] sent, byte[] received) {
        boolean sameBody = mPlan.method().equals("GET") || Arrays.equals(sent, received);
        return sameBody && load.equals(response.header("Load-Id"));
    }

    private void ended(int number, int attempt, long startedNanos, String outcome, String code) {
        long now = System.nanoTime();
        mResultCodes.computeIfAbsent(code, key -> new AtomicInteger()).incrementAndGet();
        if (!outcome.equals("done")) {
            noteFailure(now);
        }
        boolean repeat = mPlan.keyed() && !outcome.equals("done") && attempt + 1 < MAXIMUM_TRIES;
        if (repeat) {
            CompletableFuture.delayedExecutor(REPEAT_DELAY_MS, TimeUnit.MILLISECONDS)
                    .execute(() -> send(number, attempt + 1, startedNanos));
            return;
        }
        String load = mPlan.name() + "-" + mRun + "-" + number;
        mOutcomes.put(load, outcome);
        long micros = Math.min(HIGHEST_MICROS, (now - startedNanos) / 1_000);
        // A virtual machine that has just started is slow itself.
        if (number >= mPlan.ratePerSecond() * mPlan.warmUpSeconds()) {
            (outcome.equals("done") ? mDone : mRefused).recordValue(micros);
        }
        mOpen.countDown();
    }

    private synchronized void noteFailure(long nanos) {
        if (mFirstFailureNanos == 0) {
            mFirstFailureNanos = nanos;
        }
        mLastFailureNanos = nanos;
    }

    private Request request(String entry, String load, byte[] body) {
        Request.Builder builder =
                new Request.Builder()
                        .url("http://" + entry + mPlan.path())
                        .header("Load-Id", load)
                        .header("Hickorycleat-Criticality", mPlan.criticality())
                        .header("Hickorycleat-Deadline-Ms", Integer.toString(mPlan.deadlineMs()));
        if (!mPlan.team().isEmpty()) {
            builder.header("Hickorycleat-Team", mPlan.team());
        }
        if (mPlan.keyed()) {
            builder.header("Idempotency-Key", load);
        }
        return mPlan.method().equals("GET")
                ? builder.build()
                : builder.method(mPlan.method(), RequestBody.create(body, BYTES)).build();
    }

    private byte[] body(String load) {
        byte[] body = new byte[mPlan.bodyBytes()];
        byte[] unique = load.getBytes(StandardCharsets.UTF_8);
        for (int i = 0; i < body.length; i++) {
            body[i] = unique[i % unique.length];
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
        return new ConcurrentHistogram(HIGHEST_MICROS, PRECISION_DIGITS);
    }
}
