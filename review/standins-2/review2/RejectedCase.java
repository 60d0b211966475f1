package review2;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/**
 * The store executes appends and loses their answers for 250 ms, then it is down and answers every
 * call with 503. Clients hand jobs in at the ordinary rate of the site and return after a
 * rejection, as often as the site's clients do.
 */
public final class RejectedCase {
    private static final int ENTRIES = 2;
    private static final int AGENTS = 3;
    private static final int JOBS_PER_S = 6;
    private static final int ROUNDS = 6;
    private static final int CALM_MS = 4_000;
    private static final int LOSING_MS = 250;
    private static final int DOWN_MS = 4_200;
    private static final int RETRIES = 4;
    private static final int DEADLINE_MS = 3_000;
    private static final int FINISH_MS = 8_000;

    private final Fleet mFleet;
    private final List<Job> mJobs = new ArrayList<>();

    private static final class Job {
        private final String mId;
        private boolean mAnsweredOtherwise;
        private int mRejections;

        Job(String id) {
            mId = id;
        }
    }

    private RejectedCase(Fleet fleet) {
        mFleet = fleet;
    }

    public static void main(String[] arguments) throws Exception {
        System.setProperty("sun.net.http.allowRestrictedHeaders", "true");
        System.setProperty("sun.net.http.retryPost", "false");
        System.setProperty("sun.net.httpserver.nodelay", "true");
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        int result = 2;
        try (Fleet fleet =
                new Fleet(
                        Path.of(arguments[0]),
                        ENTRIES,
                        AGENTS,
                        16_000,
                        true,
                        Configurations.oneQueue(4))) {
            result = new RejectedCase(fleet).run(trouble);
            fleet.mRecord.note("result " + result);
        } catch (RuntimeException | java.io.IOException e) {
            e.printStackTrace();
        }
        System.exit(result);
    }

    private int run(boolean trouble) {
        mFleet.awaitReady(ENTRIES, 20_000);
        Fleet.sleep(3_000);
        Thread clients = Fleet.daemonThread(this::handIn);
        clients.start();
        for (int i = 0; i < ROUNDS; i++) {
            Fleet.sleep(CALM_MS);
            if (trouble) {
                mFleet.mRecord.note("store loses answers of appends");
                mFleet.mStore.setLosesAnswers(true);
                Fleet.sleep(LOSING_MS);
                mFleet.mRecord.note("store is down: 503");
                mFleet.mStore.setGate(call -> 503);
                mFleet.mStore.setLosesAnswers(false);
                Fleet.sleep(DOWN_MS);
                mFleet.mRecord.note("store is up");
                mFleet.mStore.setGate(call -> Store.Gate.PASS);
            }
        }
        Fleet.sleep(FINISH_MS);
        return check();
    }

    private void handIn() {
        long endMs = Fleet.nowMs() + ROUNDS * (CALM_MS + LOSING_MS + DOWN_MS);
        for (int number = 0; Fleet.nowMs() < endMs; number++) {
            Job job = new Job(String.format("%016x", 0xb000_0000_0000L + number));
            synchronized (mJobs) {
                mJobs.add(job);
            }
            int entry = number % ENTRIES;
            Fleet.daemonThread(() -> submit(job, entry)).start();
            Fleet.sleep(1_000 / JOBS_PER_S);
        }
    }

    private void submit(Job job, int entry) {
        String body =
                Configurations.job(
                        1_000, 400, "{\"count\":6,\"cpu\":240,\"mem_mb\":480,\"estimate_ms\":400}");
        long untilMs = Fleet.nowMs() + DEADLINE_MS;
        for (int i = 0; i <= RETRIES && Fleet.nowMs() < untilMs; i++) {
            int target = (entry + i) % ENTRIES;
            Fleet.Answer answer = mFleet.client(target, "POST", job.mId, body);
            mFleet.mRecord.note(
                    "client POST " + job.mId + " to entry " + target + ": " + answer.status());
            boolean rejected = answer.status() == 429 || answer.status() == 503;
            synchronized (job) {
                job.mRejections += rejected ? 1 : 0;
                job.mAnsweredOtherwise |= !rejected;
            }
            if (answer.status() == 200) {
                return;
            }
            Fleet.sleep(1_000);
        }
    }

    private int check() {
        List<Job> jobs;
        synchronized (mJobs) {
            jobs = List.copyOf(mJobs);
        }
        int broken = 0;
        int rejected = 0;
        for (Job job : jobs) {
            synchronized (job) {
                if (job.mAnsweredOtherwise || job.mRejections == 0) {
                    continue;
                }
            }
            rejected++;
            if (mFleet.mRecord.hasStarted(job.mId + ".0.0.0")) {
                broken++;
                mFleet.mRecord.note("REFUSED broken: every attempt was rejected, but it ran: " + job.mId);
            }
        }
        mFleet.mRecord.note(
                jobs.size() + " jobs, " + rejected + " rejected at every attempt, of these ran " + broken);
        return broken > 0 ? 1 : 0;
    }
}
