package org.hickorycleat.logic.dispatch;

import io.reactivex.rxjava3.core.Single;
import io.reactivex.rxjava3.schedulers.TestScheduler;
import io.reactivex.rxjava3.subjects.SingleSubject;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Predicate;
import java.util.function.Supplier;
import org.hickorycleat.logic.port.RunCommandResult;
import org.hickorycleat.logic.port.RunListing;
import org.hickorycleat.logic.port.StartRunCommand;
import org.hickorycleat.logic.port.WorkerRuntime;
import org.hickorycleat.model.job.EndCause;
import org.hickorycleat.model.job.EndedRun;
import org.hickorycleat.model.job.JobId;
import org.hickorycleat.model.job.ListCompleteness;
import org.hickorycleat.model.job.RejectionReason;
import org.hickorycleat.model.job.RunId;
import org.hickorycleat.model.job.RunSample;
import org.hickorycleat.model.job.TaskKey;

/**
 * A worker that executes commands late or never answers them, and whose responses overtake each
 * other.
 */
final class SimulatedWorker implements WorkerRuntime {
    private static final int MAXIMUM_LEASE_MS = 10_000;
    private static final int COMMAND_TIMEOUT_MS = 300;
    private static final int POLL_MS = 20;
    private static final int MAXIMUM_LISTED_ENDS = 3;

    private final String mName;
    private final TestScheduler mScheduler;
    private final Random mRandom;
    private final RunHistory mHistory;
    private final Predicate<TaskKey> mLongRunning;
    private final Map<RunId, PlannedEnd> mRunning = new LinkedHashMap<>();
    private final Map<TaskKey, Integer> mHighestEndedRun = new HashMap<>();
    private final List<EndedRun> mEnded = new ArrayList<>();
    private final Map<RunId, Integer> mPercents = new HashMap<>();
    private double mLossRate;
    private long mMeasurement = 900;
    private long mStartedAtMs;
    private long mHighestToken;
    private long mLeaseDeadlineMs;
    private long mLastEndNumber;
    private long mUpAtMs;
    private long mCutUntilMs;
    private final Set<SingleSubject<?>> mOpenCalls = new LinkedHashSet<>();

    private record PlannedEnd(long startedAtMs, long atMs, EndCause cause) {}

    SimulatedWorker(
            String name,
            TestScheduler scheduler,
            Random random,
            RunHistory history,
            Predicate<TaskKey> longRunning) {
        mName = name;
        mScheduler = scheduler;
        mRandom = random;
        mHistory = history;
        mLongRunning = longRunning;
        mStartedAtMs = nowMs();
    }

    /** Sets the share of calls that get no response. */
    void setLossRate(double lossRate) {
        mLossRate = lossRate;
    }

    /** Sets the measurement of every run: tail latency, or processors in use. */
    void setMeasurement(long measurement) {
        mMeasurement = measurement;
    }

    /** Returns the share in percent at which each running run of an image's job works. */
    List<Integer> percents(JobId job) {
        return mRunning.keySet().stream()
                .filter(run -> run.task().job().equals(job))
                .map(run -> mPercents.getOrDefault(run, 100))
                .toList();
    }

    /** Loses all calls and responses for a time; runs go on under their lease. */
    void cut(int cutMs) {
        mCutUntilMs = Math.max(mCutUntilMs, nowMs() + cutMs);
    }

    long startedAtMs() {
        return mStartedAtMs;
    }

    /** Ends the process of the worker, which closes its connections, and starts the next one. */
    void crash(int downMs) {
        List<SingleSubject<?>> openCalls = List.copyOf(mOpenCalls);
        mOpenCalls.clear();
        openCalls.forEach(call -> after(1, () -> call.onError(new IllegalStateException("reset"))));
        mUpAtMs = nowMs() + downMs;
        mHistory.onCrashed(mName, unacknowledgedTasks());
        mRunning.clear();
        mHighestEndedRun.clear();
        mPercents.clear();
        mEnded.clear();
        mStartedAtMs = mUpAtMs;
        mHighestToken = 0;
        mLeaseDeadlineMs = 0;
        mLastEndNumber = 0;
    }

    private Set<TaskKey> unacknowledgedTasks() {
        Set<TaskKey> tasks = new HashSet<>();
        mEnded.forEach(end -> tasks.add(end.run().task()));
        return tasks;
    }

    /** Ends the runs that are due, or all of them once the lease has expired. */
    void tick() {
        boolean expired = clockMs() > mLeaseDeadlineMs;
        if (expired) {
            mHistory.onLeaseExpired(mName, unacknowledgedTasks());
        }
        for (Map.Entry<RunId, PlannedEnd> run : List.copyOf(mRunning.entrySet())) {
            if (expired) {
                end(run.getKey(), EndCause.LAPSED);
            } else if (nowMs() >= run.getValue().atMs()) {
                end(run.getKey(), run.getValue().cause());
            }
        }
    }

    private void end(RunId run, EndCause cause) {
        mRunning.remove(run);
        mHighestEndedRun.merge(run.task(), run.number(), Math::max);
        mLastEndNumber++;
        mEnded.add(new EndedRun(mLastEndNumber, run, cause, ""));
        mHistory.onEnded(mName, run, cause, !mLongRunning.test(run.task()));
    }

    @Override
    public Single<RunCommandResult> start(StartRunCommand command) {
        return call(() -> executeStart(command));
    }

    private RunCommandResult executeStart(StartRunCommand command) {
        if (isFenced(command.fencingToken())) {
            return RunCommandResult.FENCED;
        }
        extendLease(command.leaseDeadlineMs());
        RunId run = command.run();
        if (mRunning.containsKey(run)) {
            return RunCommandResult.DONE;
        }
        if (run.number() <= mHighestEndedRun.getOrDefault(run.task(), 0)) {
            return RunCommandResult.rejected(RejectionReason.OLD_RUN);
        }
        if (clockMs() > mLeaseDeadlineMs) {
            return RunCommandResult.rejected(RejectionReason.NO_LEASE);
        }
        mHistory.onStarted(mName, run, nowMs());
        mRunning.put(run, plannedEnd(run.task()));
        return RunCommandResult.DONE;
    }

    private PlannedEnd plannedEnd(TaskKey task) {
        int durationMs =
                mLongRunning.test(task)
                        ? 10_000 + mRandom.nextInt(300_000)
                        : mRandom.nextInt(2_000);
        EndCause cause = mRandom.nextInt(12) == 0 ? EndCause.FAILED : EndCause.DONE;
        return new PlannedEnd(nowMs(), nowMs() + durationMs, cause);
    }

    @Override
    public Single<RunCommandResult> stop(RunId run, long fencingToken) {
        return call(
                () -> {
                    if (isFenced(fencingToken)) {
                        return RunCommandResult.FENCED;
                    }
                    mHighestEndedRun.merge(run.task(), run.number(), Math::max);
                    if (mRunning.containsKey(run)) {
                        end(run, EndCause.STOPPED);
                    }
                    return RunCommandResult.DONE;
                });
    }

    @Override
    public Single<RunCommandResult> throttle(RunId run, int percent, long fencingToken) {
        return call(
                () -> {
                    if (isFenced(fencingToken)) {
                        return RunCommandResult.FENCED;
                    }
                    mPercents.put(run, percent);
                    return RunCommandResult.DONE;
                });
    }

    @Override
    public Single<RunListing> list(
            long fencingToken, Optional<Long> leaseDeadlineMs, long acknowledgedEnds, int waitMs) {
        SingleSubject<RunListing> response = openCall();
        after(
                requestDelayMs(),
                () -> {
                    if (!mOpenCalls.contains(response) || isCut()) {
                        return;
                    }
                    if (isFenced(fencingToken)) {
                        respond(response, RunListing.rejectedAsFenced());
                        return;
                    }
                    leaseDeadlineMs.ifPresent(this::extendLease);
                    mEnded.removeIf(end -> end.number() <= acknowledgedEnds);
                    respondWhenEnded(response, nowMs() + waitMs);
                });
        return withTimeout(response, COMMAND_TIMEOUT_MS + waitMs);
    }

    private void respondWhenEnded(SingleSubject<RunListing> response, long untilMs) {
        if (!mOpenCalls.contains(response)) {
            return;
        }
        if (mEnded.isEmpty() && nowMs() < untilMs) {
            after(POLL_MS, () -> respondWhenEnded(response, untilMs));
            return;
        }
        respond(response, listing());
    }

    private RunListing listing() {
        List<RunSample> running = new ArrayList<>();
        for (Map.Entry<RunId, PlannedEnd> run : mRunning.entrySet()) {
            // Changes at any time, so that no run counts as stalled.
            int percent = (int) ((nowMs() - run.getValue().startedAtMs()) / 100 % 100);
            running.add(new RunSample(run.getKey(), "", percent, mMeasurement));
        }
        List<EndedRun> ended = mEnded.subList(0, Math.min(MAXIMUM_LISTED_ENDS, mEnded.size()));
        return new RunListing(
                false,
                mStartedAtMs,
                clockMs(),
                running,
                ended,
                ended.size() < MAXIMUM_LISTED_ENDS
                        ? ListCompleteness.COMPLETE
                        : ListCompleteness.PARTIAL);
    }

    private <T> Single<T> call(Supplier<T> command) {
        SingleSubject<T> response = openCall();
        if (isCut()) {
            return withTimeout(response, COMMAND_TIMEOUT_MS);
        }
        if (mRandom.nextDouble() < mLossRate) {
            long delayMs = mRandom.nextBoolean() ? 10 : 2_000 + mRandom.nextInt(6_000);
            long acceptedBy = mStartedAtMs;
            after(
                    delayMs,
                    () -> {
                        // A crash loses the commands that wait in the process.
                        if (mStartedAtMs == acceptedBy && isUp()) {
                            var unused = command.get();
                        }
                    });
        } else {
            after(
                    requestDelayMs(),
                    () -> {
                        if (mOpenCalls.contains(response)) {
                            respond(response, command.get());
                        }
                    });
        }
        return withTimeout(response, COMMAND_TIMEOUT_MS);
    }

    private <T> SingleSubject<T> openCall() {
        SingleSubject<T> call = SingleSubject.create();
        if (isUp()) {
            mOpenCalls.add(call);
        } else {
            after(1, () -> call.onError(new IllegalStateException("refused")));
        }
        return call;
    }

    private boolean isCut() {
        return nowMs() < mCutUntilMs;
    }

    private boolean isUp() {
        return nowMs() >= mUpAtMs;
    }

    private <T> void respond(SingleSubject<T> response, T value) {
        if (isCut()) {
            return;
        }
        if (mRandom.nextDouble() < mLossRate) {
            return;
        }
        boolean slow = mRandom.nextInt(3) == 0;
        after(
                1 + mRandom.nextInt(slow ? 200 : 10),
                () -> {
                    if (mOpenCalls.remove(response)) {
                        response.onSuccess(value);
                    }
                });
    }

    private <T> Single<T> withTimeout(Single<T> call, int timeoutMs) {
        return call.timeout(timeoutMs, TimeUnit.MILLISECONDS, mScheduler);
    }

    private int requestDelayMs() {
        return 1 + mRandom.nextInt(5);
    }

    private boolean isFenced(long token) {
        if (token < mHighestToken) {
            return true;
        }
        mHighestToken = token;
        return false;
    }

    private void extendLease(long deadlineMs) {
        long latestMs = clockMs() + MAXIMUM_LEASE_MS;
        mLeaseDeadlineMs = Math.max(mLeaseDeadlineMs, Math.min(deadlineMs, latestMs));
    }

    private void after(long delayMs, Runnable action) {
        mScheduler.scheduleDirect(action, delayMs, TimeUnit.MILLISECONDS);
    }

    private long clockMs() {
        return nowMs() - mStartedAtMs;
    }

    private long nowMs() {
        return mScheduler.now(TimeUnit.MILLISECONDS);
    }
}
