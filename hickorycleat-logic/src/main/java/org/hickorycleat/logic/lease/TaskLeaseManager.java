package org.hickorycleat.logic.lease;

import io.reactivex.rxjava3.core.Scheduler;
import io.reactivex.rxjava3.core.Single;
import io.reactivex.rxjava3.disposables.Disposable;
import io.reactivex.rxjava3.functions.Consumer;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.hickorycleat.logic.port.TaskUsage;
import org.hickorycleat.logic.port.WorkerControl;
import org.hickorycleat.logic.port.WorkerListing;
import org.hickorycleat.logic.port.WorkerRenewal;
import org.hickorycleat.logic.port.WorkerResponse;
import org.hickorycleat.logic.port.WorkerStart;
import org.hickorycleat.logic.port.WorkerTask;
import org.hickorycleat.model.identifier.AttemptNumber;
import org.hickorycleat.model.identifier.Epoch;
import org.hickorycleat.model.identifier.Incarnation;
import org.hickorycleat.model.identifier.ProcessId;
import org.hickorycleat.model.identifier.ShardNumber;
import org.hickorycleat.model.identifier.TaskId;
import org.hickorycleat.model.message.CheckpointTask;
import org.hickorycleat.model.message.Fence;
import org.hickorycleat.model.message.LeaseGrant;
import org.hickorycleat.model.message.LeaseRequest;
import org.hickorycleat.model.message.Message;
import org.hickorycleat.model.message.StartTask;
import org.hickorycleat.model.message.StopTask;
import org.hickorycleat.model.message.TaskAttempt;
import org.hickorycleat.model.message.TaskReport;
import org.hickorycleat.model.message.ThrottleTask;
import org.hickorycleat.model.message.WorkerSummary;
import org.hickorycleat.model.result.ResultCode;

/**
 * Renews the leases of the tasks on an agent's local worker and forwards commands to the worker.
 *
 * <p>The end of an attempt is reported only as the worker has recorded it, because the owner takes
 * the report as proof that the attempt never runs again. A command without a response from the
 * worker is not reported; the owner retries it. Thread-safe; the output is called with the lock
 * held.
 */
public final class TaskLeaseManager {
    /** Timeout of a call to the worker; a lease survives two lost responses. */
    private static final long WORKER_TIMEOUT_MS = 1_000;

    /**
     * Timeout of a checkpoint, during which a stop of its task waits and the lease is not renewed.
     */
    private static final long CHECKPOINT_TIMEOUT_MS = 5_000;

    private final Object mLock = new Object();
    private final WorkerControl mWorker;
    private final LeaseManagerOutput mOutput;
    private final LeaseSettings mSettings;
    private final Scheduler mScheduler;
    private final Map<ShardNumber, ConfirmedOwner> mOwners = new HashMap<>();
    private final Map<ShardNumber, Long> mLastRequestMs = new HashMap<>();
    private final Map<Long, SentLeaseRequest> mSentRequests = new LinkedHashMap<>();
    private final Map<TaskId, AttemptNumber> mLastAttempts = new HashMap<>();
    private final Map<TaskId, TaskUsage> mUsage = new HashMap<>();
    private final Map<TaskId, Single<WorkerResponse>> mCheckpointResponses = new HashMap<>();
    private Optional<Incarnation> mWorkerIncarnation = Optional.empty();
    private long mNextRequestNumber;
    private boolean mListingInProgress;
    private long mStaleEpochs;
    private long mLateGrants;
    private long mStaleAttempts;
    private long mWorkerErrors;

    /**
     * Creates a manager; the state of the worker is unknown until the first listing.
     *
     * @param agent incarnation of the agent; a later one never reuses its request numbers
     */
    public TaskLeaseManager(
            WorkerControl worker,
            LeaseManagerOutput output,
            Incarnation agent,
            LeaseSettings settings,
            Scheduler scheduler) {
        mWorker = worker;
        mOutput = output;
        mSettings = settings;
        mScheduler = scheduler;
        mNextRequestNumber = agent.value() << 20;
    }

    /**
     * Lists the tasks of the worker, reports them and requests leases; to be called every second.
     */
    public void tick() {
        synchronized (mLock) {
            refreshUsage();
            listTasks();
        }
    }

    /** Handles a message from an owner; messages of other types are ignored. */
    public void onMessage(ProcessId owner, Message message) {
        synchronized (mLock) {
            if (message instanceof Fence fence) {
                onFence(owner, fence);
            } else if (message instanceof StartTask start) {
                onStart(owner, start);
            } else if (message instanceof LeaseGrant grant) {
                onGrant(grant);
            } else {
                onCommand(owner, message);
            }
        }
    }

    /** Handles the loss of the connection to an owner; requests resume after its next Fence. */
    public void disconnected(ProcessId owner) {
        synchronized (mLock) {
            mOwners.replaceAll(
                    (shard, confirmedOwner) ->
                            confirmedOwner.owner().equals(owner)
                                    ? new ConfirmedOwner(confirmedOwner.epoch(), owner, false)
                                    : confirmedOwner);
        }
    }

    /** Returns the current values of the counters. */
    public LeaseManagerCounters counts() {
        synchronized (mLock) {
            return new LeaseManagerCounters(
                    mStaleEpochs, mLateGrants, mStaleAttempts, mWorkerErrors);
        }
    }

    private void listTasks() {
        if (mListingInProgress) {
            return;
        }
        mListingInProgress = true;
        callWorker(mWorker.list().doFinally(this::onListingEnded), this::onListed);
    }

    private void onListingEnded() {
        synchronized (mLock) {
            mListingInProgress = false;
        }
    }

    private void onListed(WorkerListing listing) {
        if (!mWorkerIncarnation.equals(Optional.of(listing.incarnation()))) {
            mWorkerIncarnation = Optional.of(listing.incarnation());
            mSentRequests.clear();
        }
        mLastAttempts.clear();
        mCheckpointResponses.keySet().retainAll(taskIds(listing));
        listing.tasks().forEach(task -> recordAttempt(task.task(), task.attempt()));
        mOutput.publishWorker(summary(listing));
        for (Map.Entry<ShardNumber, ConfirmedOwner> entry : mOwners.entrySet()) {
            if (entry.getValue().connected() && isRequestDue(entry.getKey())) {
                requestLeases(entry.getKey(), entry.getValue().owner(), listing);
            }
        }
    }

    private boolean isRequestDue(ShardNumber shard) {
        Long requestedMs = mLastRequestMs.get(shard);
        return requestedMs == null || nowMs() - requestedMs >= mSettings.requestIntervalMs();
    }

    /**
     * Sends the reports before the request, so that the owner does not restart an ended attempt.
     */
    private void requestLeases(ShardNumber shard, ProcessId owner, WorkerListing listing) {
        listing.tasks().stream()
                .filter(task -> task.shard().equals(shard))
                .forEach(task -> reportTask(owner, task));
        long nowMs = nowMs();
        mLastRequestMs.put(shard, nowMs);
        mSentRequests.values().removeIf(sent -> nowMs - sent.sentMs() >= mSettings.leaseMs());
        long number = mNextRequestNumber++;
        mSentRequests.put(
                number, new SentLeaseRequest(nowMs, listing.incarnation(), listing.clockMs()));
        mOutput.send(owner, new LeaseRequest(shard, number, activeAttempts(listing, shard)));
    }

    private static List<TaskAttempt> activeAttempts(WorkerListing listing, ShardNumber shard) {
        return activeAttempts(listing).stream().filter(task -> task.shard().equals(shard)).toList();
    }

    private static List<TaskId> taskIds(WorkerListing listing) {
        return listing.tasks().stream().map(WorkerTask::task).toList();
    }

    private static List<TaskAttempt> activeAttempts(WorkerListing listing) {
        return listing.tasks().stream()
                .filter(WorkerTask::isActive)
                .map(task -> new TaskAttempt(task.shard(), task.task(), task.attempt()))
                .toList();
    }

    private static WorkerSummary summary(WorkerListing listing) {
        return new WorkerSummary(
                listing.worker(),
                listing.incarnation(),
                listing.rack(),
                listing.capacity(),
                activeAttempts(listing));
    }

    private void onFence(ProcessId owner, Fence fence) {
        if (isStale(fence.shard(), fence.epoch())) {
            return;
        }
        callWorker(
                mWorker.fence(fence.shard(), fence.epoch()), code -> onFenced(owner, fence, code));
    }

    private void onFenced(ProcessId owner, Fence fence, ResultCode code) {
        if (code != ResultCode.OK) {
            mStaleEpochs++;
            return;
        }
        if (isStale(fence.shard(), fence.epoch())) {
            return;
        }
        mOwners.put(fence.shard(), new ConfirmedOwner(fence.epoch(), owner, true));
        mLastRequestMs.remove(fence.shard());
        mOutput.send(owner, fence);
        listTasks();
    }

    private void onStart(ProcessId owner, StartTask start) {
        if (isStale(start.shard(), start.epoch())) {
            return;
        }
        Optional<SentLeaseRequest> request =
                findValidRequest(start.leaseRequest(), start.leaseMs());
        if (request.isEmpty()) {
            return;
        }
        AttemptNumber latest = mLastAttempts.get(start.task());
        if (latest != null && latest.compareTo(start.attempt()) > 0) {
            mStaleAttempts++;
            return;
        }
        recordAttempt(start.task(), start.attempt());
        callWorker(
                mWorker.start(
                        new WorkerStart(
                                start.shard(),
                                start.epoch(),
                                request.get().incarnation(),
                                start.task(),
                                start.attempt(),
                                start.resources(),
                                request.get().workerClockMs() + start.leaseMs(),
                                start.runMs(),
                                start.checkpoint())),
                response -> onWorkerResponse(owner, response));
    }

    private void onGrant(LeaseGrant grant) {
        if (isStale(grant.shard(), grant.epoch())) {
            return;
        }
        Optional<SentLeaseRequest> request =
                findValidRequest(grant.requestNumber(), grant.leaseMs());
        if (request.isEmpty() || grant.tasks().isEmpty()) {
            return;
        }
        callWorker(
                mWorker.renew(
                        new WorkerRenewal(
                                grant.shard(),
                                grant.epoch(),
                                request.get().incarnation(),
                                grant.tasks(),
                                request.get().workerClockMs() + grant.leaseMs())),
                this::onRenewed);
    }

    private void onRenewed(ResultCode code) {
        if (code == ResultCode.STALE_EPOCH) {
            mStaleEpochs++;
        }
    }

    private void onCommand(ProcessId owner, Message message) {
        if (message instanceof StopTask stop && !isStale(stop.shard(), stop.epoch())) {
            subscribe(
                    afterCheckpoint(
                            stop.task(),
                            withTimeout(
                                    mWorker.stop(
                                            stop.shard(),
                                            stop.epoch(),
                                            stop.task(),
                                            stop.attempt()))),
                    response -> onWorkerResponse(owner, response));
        } else if (message instanceof CheckpointTask checkpoint
                && !isStale(checkpoint.shard(), checkpoint.epoch())) {
            onCheckpoint(owner, checkpoint);
        } else if (message instanceof ThrottleTask throttle
                && !isStale(throttle.shard(), throttle.epoch())) {
            callWorker(
                    mWorker.throttle(
                            throttle.shard(),
                            throttle.epoch(),
                            throttle.task(),
                            throttle.attempt(),
                            throttle.permille()),
                    response -> onWorkerResponse(owner, response));
        }
    }

    private void onCheckpoint(ProcessId owner, CheckpointTask checkpoint) {
        Single<WorkerResponse> response =
                mWorker.checkpoint(
                                checkpoint.shard(),
                                checkpoint.epoch(),
                                checkpoint.task(),
                                checkpoint.attempt())
                        .timeout(CHECKPOINT_TIMEOUT_MS, TimeUnit.MILLISECONDS, mScheduler)
                        .cache();
        mCheckpointResponses.put(checkpoint.task(), response);
        subscribe(response, value -> onWorkerResponse(owner, value));
    }

    /**
     * Delays a stop until the pending checkpoint of its task has ended, so that no work is lost.
     */
    private Single<WorkerResponse> afterCheckpoint(TaskId task, Single<WorkerResponse> stop) {
        Single<WorkerResponse> checkpoint = mCheckpointResponses.remove(task);
        if (checkpoint == null) {
            return stop;
        }
        return checkpoint.ignoreElement().onErrorComplete().andThen(stop);
    }

    private void onWorkerResponse(ProcessId owner, WorkerResponse response) {
        if (response.code() == ResultCode.STALE_EPOCH) {
            mStaleEpochs++;
            return;
        }
        response.task().ifPresent(task -> reportTask(owner, task));
    }

    private void reportTask(ProcessId owner, WorkerTask task) {
        Optional<TaskUsage> usage = Optional.ofNullable(mUsage.get(task.task()));
        mOutput.send(
                owner,
                new TaskReport(
                        task.shard(),
                        task.task(),
                        task.attempt(),
                        task.state(),
                        task.checkpoint(),
                        task.progressMs(),
                        usage.map(TaskUsage::processorsMilli).orElse(0L),
                        usage.map(TaskUsage::memoryMebibytes).orElse(0L),
                        usage.map(TaskUsage::measuredAgoMs).orElse(0L)));
    }

    private void refreshUsage() {
        callWorker(
                mWorker.usage(),
                usageSamples -> {
                    mUsage.clear();
                    usageSamples.forEach(usage -> mUsage.put(usage.task(), usage));
                });
    }

    /**
     * Returns whether the worker has confirmed an owner with a higher epoch; counts such a message.
     */
    private boolean isStale(ShardNumber shard, Epoch epoch) {
        ConfirmedOwner confirmedOwner = mOwners.get(shard);
        if (confirmedOwner == null || confirmedOwner.epoch().compareTo(epoch) <= 0) {
            return false;
        }
        mStaleEpochs++;
        return true;
    }

    /**
     * Returns the request of a lease; empty, and counted as late, if the lease has expired. A lease
     * starts at its request.
     */
    private Optional<SentLeaseRequest> findValidRequest(long number, long leaseMs) {
        Optional<SentLeaseRequest> request =
                Optional.ofNullable(mSentRequests.get(number))
                        .filter(sent -> nowMs() - sent.sentMs() < leaseMs);
        if (request.isEmpty()) {
            mLateGrants++;
        }
        return request;
    }

    private void recordAttempt(TaskId task, AttemptNumber attempt) {
        mLastAttempts.merge(
                task, attempt, (first, second) -> first.compareTo(second) >= 0 ? first : second);
    }

    private <T> void callWorker(Single<T> response, Consumer<T> handler) {
        subscribe(withTimeout(response), handler);
    }

    private <T> Single<T> withTimeout(Single<T> response) {
        return response.timeout(WORKER_TIMEOUT_MS, TimeUnit.MILLISECONDS, mScheduler);
    }

    private <T> void subscribe(Single<T> response, Consumer<T> handler) {
        Disposable unused =
                response.subscribe(
                        value -> {
                            synchronized (mLock) {
                                handler.accept(value);
                            }
                        },
                        error -> {
                            synchronized (mLock) {
                                mWorkerErrors++;
                            }
                        });
    }

    private long nowMs() {
        return mScheduler.now(TimeUnit.MILLISECONDS);
    }
}
