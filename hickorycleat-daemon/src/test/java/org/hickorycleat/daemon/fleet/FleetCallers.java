package org.hickorycleat.daemon.fleet;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Submits and cancels jobs on keep-alive connections while faults are injected, and remembers what
 * the responses promise.
 *
 * <p>Calls go on over an open connection of an entry that was asked to stop until the connection is
 * closed.
 */
final class FleetCallers {
    private static final int MINIMUM_PAUSE_MS = 500;
    private static final int PAUSE_RANGE_MS = 700;
    private static final int ATTEMPTS = 2;
    private static final int START_ATTEMPTS = 20;
    private static final int OK = 200;
    private static final int NOT_DONE = 503;

    private final ProcessFleet mFleet;
    private final List<Thread> mThreads = new ArrayList<>();
    private final AtomicInteger mLastJob = new AtomicInteger();
    private final Set<String> mAccepted = ConcurrentHashMap.newKeySet();
    private final Set<String> mRejected = ConcurrentHashMap.newKeySet();
    private final Set<String> mCancelled = ConcurrentHashMap.newKeySet();
    private final Set<String> mPerpetual = ConcurrentHashMap.newKeySet();
    private volatile boolean mStopped;

    FleetCallers(ProcessFleet fleet) {
        mFleet = fleet;
    }

    /** Returns the accepted jobs whose tasks end, without jobs that a caller tried to cancel. */
    Set<String> accepted() {
        return mAccepted;
    }

    /** Returns the jobs for which every response was a rejection. */
    Set<String> rejected() {
        return mRejected;
    }

    Set<String> cancelled() {
        return mCancelled;
    }

    /** Returns the accepted long-running jobs, without those that a caller tried to cancel. */
    Set<String> perpetual() {
        return mPerpetual;
    }

    /** Submits a long-running job that is not cancelled; retries until it is accepted. */
    void startPerpetualJob(Random random) {
        String job = nextJob();
        for (int i = 0; i < START_ATTEMPTS; i++) {
            if (call(random, "POST", job, FleetExamples.PERPETUAL_JOB) == OK) {
                mPerpetual.add(job);
                return;
            }
            ProcessFleet.sleep(MINIMUM_PAUSE_MS);
        }
        throw new IllegalStateException("no entry accepts a long-running job");
    }

    /** Starts callers whose choices are drawn from the seed. */
    void start(int callers, long seed) {
        for (int i = 0; i < callers; i++) {
            Random random = new Random(31 * seed + i);
            Thread thread = new Thread(() -> run(random), "caller");
            thread.setDaemon(true);
            thread.start();
            mThreads.add(thread);
        }
    }

    /** Returns when every caller has received its last response. */
    void stop() throws InterruptedException {
        mStopped = true;
        for (Thread thread : mThreads) {
            thread.join();
        }
    }

    private void run(Random random) {
        while (!mStopped) {
            String job = nextJob();
            switch (random.nextInt(6)) {
                case 0 -> submitAtTwoEntries(job, random);
                case 1 -> submitAndCancel(job, FleetExamples.JOB, random);
                case 2 -> submitAndCancel(job, FleetExamples.PERPETUAL_JOB, random);
                default -> {
                    if (submit(job, FleetExamples.JOB, random)) {
                        mAccepted.add(job);
                    }
                }
            }
            pause(random);
        }
    }

    private static void pause(Random random) {
        ProcessFleet.sleep(MINIMUM_PAUSE_MS + random.nextInt(PAUSE_RANGE_MS));
    }

    private String nextJob() {
        return String.format("%016x", mLastJob.incrementAndGet());
    }

    private int call(Random random, String method, String job, String body) {
        List<InetSocketAddress> entries = mFleet.callerAddresses();
        return call(entries.get(random.nextInt(entries.size())), method, job, body);
    }

    private int call(InetSocketAddress entry, String method, String job, String body) {
        return mFleet.call(entry, method, "/jobs/" + job, body).status();
    }

    private boolean submit(String job, String body, Random random) {
        boolean rejected = true;
        for (int i = 0; i < ATTEMPTS; i++) {
            int status = call(random, "POST", job, body);
            if (status == OK) {
                return true;
            }
            rejected &= status == NOT_DONE;
        }
        if (rejected) {
            mRejected.add(job);
        }
        return false;
    }

    private void submitAtTwoEntries(String job, Random random) {
        List<InetSocketAddress> entries = mFleet.callerAddresses();
        int first = random.nextInt(entries.size());
        InetSocketAddress second = entries.get((first + 1) % entries.size());
        CompletableFuture<Integer> other =
                CompletableFuture.supplyAsync(
                        () -> call(entries.get(first), "POST", job, FleetExamples.JOB));
        List<Integer> statuses =
                List.of(call(second, "POST", job, FleetExamples.JOB), other.join());
        if (statuses.contains(OK)) {
            mAccepted.add(job);
        } else if (statuses.stream().allMatch(status -> status == NOT_DONE)) {
            mRejected.add(job);
        }
    }

    private void submitAndCancel(String job, String body, Random random) {
        if (!submit(job, body, random)) {
            return;
        }
        pause(random);
        for (int i = 0; i < ATTEMPTS; i++) {
            if (call(random, "DELETE", job, "") == OK) {
                mCancelled.add(job);
                return;
            }
        }
    }
}
