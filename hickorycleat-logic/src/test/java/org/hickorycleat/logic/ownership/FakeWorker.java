package org.hickorycleat.logic.ownership;

import io.reactivex.rxjava3.core.Single;
import io.reactivex.rxjava3.schedulers.TestScheduler;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import org.hickorycleat.logic.port.TaskUsage;
import org.hickorycleat.logic.port.WorkerControl;
import org.hickorycleat.logic.port.WorkerListing;
import org.hickorycleat.logic.port.WorkerRenewal;
import org.hickorycleat.logic.port.WorkerResponse;
import org.hickorycleat.logic.port.WorkerStart;
import org.hickorycleat.logic.port.WorkerTask;
import org.hickorycleat.logic.port.WorkerUnavailableException;
import org.hickorycleat.model.identifier.AttemptNumber;
import org.hickorycleat.model.identifier.Epoch;
import org.hickorycleat.model.identifier.Incarnation;
import org.hickorycleat.model.identifier.RackId;
import org.hickorycleat.model.identifier.ShardNumber;
import org.hickorycleat.model.identifier.TaskId;
import org.hickorycleat.model.identifier.WorkerId;
import org.hickorycleat.model.message.TaskAttempt;
import org.hickorycleat.model.result.ResultCode;
import org.hickorycleat.model.task.Resources;
import org.hickorycleat.model.task.TaskState;

/**
 * In-memory worker that does not enforce its capacity, but reports to the oracle if it is exceeded.
 */
final class FakeWorker implements WorkerControl {
    private final String mName;
    private final Resources mCapacity;
    private final TestScheduler mScheduler;
    private final RunRecorder mRecorder;
    private final Random mRandom;
    private final Map<TaskId, Run> mRuns = new LinkedHashMap<>();
    private long mIncarnation = 1;
    private long mEpoch = -1;
    boolean mUnreachable;
    boolean mLosesResponses;
    boolean mFailsAllRuns;

    FakeWorker(
            String name,
            Resources capacity,
            TestScheduler scheduler,
            RunRecorder recorder,
            Random random) {
        mName = name;
        mCapacity = capacity;
        mScheduler = scheduler;
        mRecorder = recorder;
        mRandom = random;
    }

    /** Ends the runs whose lease or run time has expired. */
    void endDueRuns() {
        for (Run run : List.copyOf(mRuns.values())) {
            if (run.mState != TaskState.RUNNING) {
                continue;
            }
            if (run.finishMs() <= Math.min(run.mLeaseUntilMs, nowMs())) {
                end(run, mFailsAllRuns ? TaskState.FAILED : TaskState.SUCCEEDED);
            } else if (run.mLeaseUntilMs <= nowMs()) {
                end(run, TaskState.EXPIRED);
            }
        }
    }

    void restart() {
        endDueRuns();
        mRuns.values().stream()
                .filter(run -> run.mState == TaskState.RUNNING)
                .forEach(run -> end(run, TaskState.FAILED));
        mRuns.clear();
        mIncarnation++;
        mEpoch = -1;
    }

    @Override
    public Single<WorkerListing> list() {
        return call(
                () ->
                        new WorkerListing(
                                new WorkerId(mName),
                                new Incarnation(mIncarnation),
                                nowMs(),
                                new RackId("r"),
                                mCapacity,
                                mRuns.values().stream().map(Run::toWorkerTask).toList()));
    }

    @Override
    public Single<WorkerResponse> start(WorkerStart start) {
        return call(() -> startRun(start));
    }

    private WorkerResponse startRun(WorkerStart start) {
        if (isStale(start.epoch())) {
            return rejection(ResultCode.STALE_EPOCH);
        }
        if (start.incarnation().value() != mIncarnation || start.leaseUntilMs() <= nowMs()) {
            return rejection(ResultCode.LEASE_EXPIRED);
        }
        Run last = mRuns.get(start.task());
        if (last != null && last.mAttempt >= start.attempt().value()) {
            return last.mAttempt == start.attempt().value()
                    ? response(last)
                    : rejection(ResultCode.STALE_ATTEMPT);
        }
        if (last != null && last.mState == TaskState.RUNNING) {
            end(last, TaskState.STOPPED);
        }
        Run run = new Run(start);
        run.mState = TaskState.RUNNING;
        mRuns.put(start.task(), run);
        mRecorder.recordStart(
                start.task(), start.attempt().value(), mName, run.mProgressMs, nowMs());
        checkCapacity();
        return response(run);
    }

    private void checkCapacity() {
        Resources used =
                mRuns.values().stream()
                        .filter(run -> run.mState == TaskState.RUNNING)
                        .map(run -> run.mStart.resources())
                        .reduce(Resources.NONE, Resources::plus);
        if (!used.fitsInto(mCapacity)) {
            mRecorder.recordViolation("overcommitted: " + mName + " " + used + " at " + nowMs());
        }
    }

    @Override
    public Single<ResultCode> renew(WorkerRenewal renewal) {
        return call(
                () -> {
                    if (isStale(renewal.epoch())) {
                        return ResultCode.STALE_EPOCH;
                    }
                    if (renewal.incarnation().value() != mIncarnation) {
                        return ResultCode.LEASE_EXPIRED;
                    }
                    for (TaskAttempt held : renewal.tasks()) {
                        Run run = mRuns.get(held.task());
                        if (run != null && run.mAttempt == held.attempt().value()) {
                            run.mLeaseUntilMs = Math.max(run.mLeaseUntilMs, renewal.leaseUntilMs());
                        }
                    }
                    return ResultCode.OK;
                });
    }

    @Override
    public Single<WorkerResponse> stop(
            ShardNumber shard, Epoch epoch, TaskId task, AttemptNumber attempt) {
        return call(
                () -> {
                    if (isStale(epoch)) {
                        return rejection(ResultCode.STALE_EPOCH);
                    }
                    Run run = mRuns.get(task);
                    if (run == null || run.mAttempt < attempt.value()) {
                        if (run != null && run.mState == TaskState.RUNNING) {
                            end(run, TaskState.STOPPED);
                        }
                        run = new Run(unstartedAttempt(shard, epoch, task, attempt));
                        run.mState = TaskState.STOPPED;
                        mRuns.put(task, run);
                    }
                    if (run.mAttempt > attempt.value()) {
                        return rejection(ResultCode.STALE_ATTEMPT);
                    }
                    if (run.mState == TaskState.RUNNING) {
                        end(run, TaskState.STOPPED);
                    }
                    return response(run);
                });
    }

    private WorkerStart unstartedAttempt(
            ShardNumber shard, Epoch epoch, TaskId task, AttemptNumber attempt) {
        return new WorkerStart(
                shard,
                epoch,
                new Incarnation(mIncarnation),
                task,
                attempt,
                Resources.NONE,
                0,
                0,
                Optional.empty());
    }

    @Override
    public Single<WorkerResponse> checkpoint(
            ShardNumber shard, Epoch epoch, TaskId task, AttemptNumber attempt) {
        return call(
                () -> {
                    Run run = mRuns.get(task);
                    if (isStale(epoch) || run == null || run.mAttempt != attempt.value()) {
                        return rejection(ResultCode.UNKNOWN_TASK);
                    }
                    if (run.mState == TaskState.RUNNING) {
                        run.mSavedMs = run.mProgressMs + nowMs() - run.mStartedMs;
                        run.mCheckpoint = Optional.of(Long.toString(run.mSavedMs));
                        mRecorder.recordCheckpoint(task, run.mSavedMs);
                    }
                    return response(run);
                });
    }

    @Override
    public Single<WorkerResponse> throttle(
            ShardNumber shard, Epoch epoch, TaskId task, AttemptNumber attempt, int permille) {
        return call(() -> rejection(ResultCode.UNKNOWN_TASK));
    }

    @Override
    public Single<List<TaskUsage>> usage() {
        return call(ArrayList::new);
    }

    @Override
    public Single<ResultCode> fence(ShardNumber shard, Epoch epoch) {
        return call(() -> isStale(epoch) ? ResultCode.STALE_EPOCH : ResultCode.OK);
    }

    private boolean isStale(Epoch epoch) {
        if (epoch.value() < mEpoch) {
            return true;
        }
        mEpoch = epoch.value();
        return false;
    }

    /** Applies an action after a random delay and delivers its response after another one. */
    private <T> Single<T> call(Supplier<T> action) {
        return Single.timer(1 + mRandom.nextInt(20), TimeUnit.MILLISECONDS, mScheduler)
                .flatMap(
                        ignored -> {
                            if (mUnreachable) {
                                return Single.error(new WorkerUnavailableException("down"));
                            }
                            endDueRuns();
                            T result = action.get();
                            return mLosesResponses
                                    ? Single.error(new WorkerUnavailableException("lost"))
                                    : Single.just(result);
                        })
                .delay(1 + mRandom.nextInt(20), TimeUnit.MILLISECONDS, mScheduler);
    }

    private void end(Run run, TaskState state) {
        run.mState = state;
        mRecorder.recordEnd(run.mStart.task());
    }

    private static WorkerResponse rejection(ResultCode code) {
        return new WorkerResponse(code, Optional.empty());
    }

    private static WorkerResponse response(Run run) {
        return new WorkerResponse(ResultCode.OK, Optional.of(run.toWorkerTask()));
    }

    private long nowMs() {
        return mScheduler.now(TimeUnit.MILLISECONDS);
    }

    /** An attempt of a task on this worker. */
    private final class Run {
        private final WorkerStart mStart;
        private final long mAttempt;
        private final long mStartedMs = nowMs();
        private final long mProgressMs;
        private long mLeaseUntilMs;
        private long mSavedMs;
        private Optional<String> mCheckpoint = Optional.empty();
        private TaskState mState = TaskState.STARTING;

        Run(WorkerStart start) {
            mStart = start;
            mAttempt = start.attempt().value();
            mProgressMs = start.checkpoint().map(Long::parseLong).orElse(0L);
            mLeaseUntilMs = start.leaseUntilMs();
        }

        long finishMs() {
            return mStart.runMs() == 0 ? Long.MAX_VALUE : mStartedMs + mStart.runMs() - mProgressMs;
        }

        WorkerTask toWorkerTask() {
            return new WorkerTask(
                    mStart.shard(), mStart.task(), mStart.attempt(), mState, mCheckpoint, mSavedMs);
        }
    }
}
