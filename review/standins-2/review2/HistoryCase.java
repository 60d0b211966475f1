package review2;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicIntegerArray;

/**
 * Hands in as many jobs as the site's ordinary traffic brings in 73 minutes, all of which are done
 * at once, then goes on at the ordinary rate and asks for every job that was accepted last. Without
 * trouble, jobs come at the same rate, but only for the first 24 s.
 */
public final class HistoryCase {
    private static final int ENTRIES = 3;
    private static final int AGENTS = 4;
    private static final int HISTORY_S = 76;
    private static final int SHORT_HISTORY_S = 24;
    private static final int HISTORY_JOBS_PER_S = 340;
    private static final int ORDINARY_JOBS_PER_S = 6;
    private static final int ORDINARY_S = 5;
    private static final int FINISH_S = 14;
    private static final int ASKING_S = 13;
    private static final int ATTEMPTS = 2;
    private static final int NO_ANSWER = -1;
    private static final int ASKED_JOBS = 80;
    private static final int MAXIMUM_JOBS = 30_000;

    private final Fleet mFleet;
    private final boolean[] mReady = new boolean[ENTRIES];
    private final AtomicIntegerArray mStatus = new AtomicIntegerArray(MAXIMUM_JOBS);
    private ExecutorService mClients = pool();
    private volatile boolean mEnded;
    private int mJobs;

    private static ExecutorService pool() {
        return Executors.newFixedThreadPool(
                96,
                body -> {
                    Thread thread = new Thread(body);
                    thread.setDaemon(true);
                    return thread;
                });
    }

    // Requests that no client has sent yet are dropped, so that they neither count nor delay others.
    private void endTraffic() {
        int unsent = mClients.shutdownNow().size();
        mFleet.mRecord.note("requests never sent, which count as nothing: " + unsent);
        mClients = pool();
    }

    private HistoryCase(Fleet fleet) {
        mFleet = fleet;
    }

    public static void main(String[] arguments) throws Exception {
        System.setProperty("sun.net.http.allowRestrictedHeaders", "true");
        System.setProperty("sun.net.http.retryPost", "false");
        System.setProperty("sun.net.httpserver.nodelay", "true");
        System.setProperty("http.maxConnections", "64");
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        int result = 2;
        try (Fleet fleet =
                new Fleet(
                        Path.of(arguments[0]),
                        ENTRIES,
                        AGENTS,
                        64_000,
                        false,
                        Configurations.oneQueue(4))) {
            result = new HistoryCase(fleet).run(trouble);
            fleet.mRecord.note("result " + result);
        } catch (RuntimeException | java.io.IOException e) {
            e.printStackTrace();
        }
        System.exit(result);
    }

    private int run(boolean trouble) throws InterruptedException {
        mFleet.awaitReady(ENTRIES, 20_000);
        Fleet.sleep(1_500);
        for (int i = 0; i < ENTRIES; i++) {
            int entry = i;
            Fleet.daemonThread(() -> watch(entry)).start();
        }
        int fastS = trouble ? HISTORY_S : SHORT_HISTORY_S;
        handIn(fastS, HISTORY_JOBS_PER_S);
        handIn(HISTORY_S - fastS, ORDINARY_JOBS_PER_S);
        endTraffic();
        int firstOrdinary = mJobs;
        note("history handed in: " + mJobs + " jobs", 0);
        handIn(ORDINARY_S, ORDINARY_JOBS_PER_S);
        endTraffic();
        note("traffic ends", firstOrdinary);
        Fleet.sleep(FINISH_S * 1_000L);
        mEnded = true;
        return check();
    }

    private void note(String text, int from) {
        int accepted = 0;
        int rejected = 0;
        int unanswered = 0;
        for (int i = from; i < mJobs; i++) {
            int status = mStatus.get(i);
            accepted += status == 200 ? 1 : 0;
            rejected += status == 429 || status == 503 ? 1 : 0;
            unanswered += status == NO_ANSWER ? 1 : 0;
        }
        mFleet.mRecord.note(
                text
                        + "; of those from job "
                        + from
                        + " on: accepted "
                        + accepted
                        + " rejected "
                        + rejected
                        + " without answer "
                        + unanswered);
    }

    // The platform takes an entry out after two misses of its readiness, as in PROTOCOL.md.
    private void watch(int entry) {
        int misses = 0;
        mReady[entry] = true;
        while (!mEnded) {
            misses = mFleet.isReady(entry) ? 0 : misses + 1;
            boolean ready = misses < 2;
            if (ready != mReady[entry]) {
                mFleet.mRecord.note("entry " + entry + (ready ? " ready" : " not ready"));
            }
            mReady[entry] = ready;
            Fleet.sleep(1_000);
        }
    }

    private void handIn(int seconds, int perSecond) {
        long startMs = Fleet.nowMs();
        int first = mJobs;
        while (Fleet.nowMs() - startMs < seconds * 1_000L) {
            long due = first + (Fleet.nowMs() - startMs) * perSecond / 1_000;
            while (mJobs < due && mJobs < MAXIMUM_JOBS) {
                int number = mJobs++;
                mClients.submit(() -> submit(number));
            }
            Fleet.sleep(10);
        }
    }

    private static String id(int number) {
        return String.format("%016x", 0xa000_0000_0000L + number);
    }

    // Five slot-checks for each route-alloc, with the mean sizes of the site.
    private static String job(int number) {
        String step = "{\"count\":%d,\"cpu\":%d,\"mem_mb\":%d,\"estimate_ms\":20%s}";
        boolean large = number % 6 == 0;
        int count = large ? 8 : 6;
        int cpu = large ? 180 : 24;
        String first = String.format(step, count, cpu, 10, "");
        String second = String.format(step, count, cpu, 10, ",\"after\":[0]");
        boolean oneStep = !large && number % 5 < 2;
        return Configurations.job(
                large ? 2_400 : 1_000, 20, oneStep ? first : first + "," + second);
    }

    private void submit(int number) {
        int entry = entry(number);
        Fleet.Answer answer = mFleet.client(entry, "POST", id(number), job(number));
        mStatus.set(number, answer.status() == 0 ? NO_ANSWER : answer.status());
        if (answer.status() != 200) {
            mFleet.mRecord.note(
                    "client POST " + id(number) + " to entry " + entry + ": " + answer.status());
        }
    }

    private int entry(int number) {
        for (int i = 0; i < ENTRIES; i++) {
            int entry = (number + i) % ENTRIES;
            if (mReady[entry]) {
                return entry;
            }
        }
        return number % ENTRIES;
    }

    // Asks for the jobs that were accepted last; all of them were accepted within status_s.
    private int check() throws InterruptedException {
        List<Integer> accepted = new ArrayList<>();
        for (int i = mJobs - 1; i >= 0 && accepted.size() < ASKED_JOBS; i--) {
            if (mStatus.get(i) == 200) {
                accepted.add(i);
            }
        }
        AtomicInteger kept = new AtomicInteger();
        AtomicInteger lostCount = new AtomicInteger();
        for (int number : accepted) {
            mClients.submit(
                    () -> {
                        Fleet.Answer answer = new Fleet.Answer(0, "");
                        Random random = new Random(number);
                        int first = random.nextInt(ENTRIES);
                        for (int i = 0; i < ATTEMPTS && answer.status() == 0; i++) {
                            answer =
                                    mFleet.client((first + i) % ENTRIES, "GET", id(number), null);
                        }
                        if (answer.status() == 200 && answer.body().contains("completed")) {
                            kept.incrementAndGet();
                        } else {
                            lostCount.incrementAndGet();
                            mFleet.mRecord.note(
                                    "client GET "
                                            + id(number)
                                            + ": "
                                            + (answer.status() == 0
                                                    ? "no answer of two entries within 3 s each"
                                                    : answer.status() + " " + answer.body()));
                        }
                    });
        }
        mClients.shutdown();
        mClients.awaitTermination(ASKING_S, TimeUnit.SECONDS);
        int lost = lostCount.get();
        mFleet.mRecord.note(
                "asked for "
                        + accepted.size()
                        + " accepted jobs; completed: "
                        + kept
                        + "; not completed or without answer: "
                        + lost);
        if (accepted.isEmpty()) {
            return 2;
        }
        if (kept.get() + lost < accepted.size()) {
            return 2;
        }
        return lost > 0 ? 1 : 0;
    }
}
