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
import org.hickorycleat.logic.port.WorkerAnswer;
import org.hickorycleat.logic.port.WorkerControl;
import org.hickorycleat.logic.port.WorkerListing;
import org.hickorycleat.logic.port.WorkerRenewal;
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
 * Keeps the leases of the tasks on the worker beside an agent, and passes commands on to it.
 *
 * <p>It reports an end only as the worker has recorded it, because the owner takes a report as
 * proof that the attempt never runs again. A command that the worker did not answer is not
 * reported; the owner repeats it. Thread-safe; output is called with its lock held.
 */
public final class TaskLeaseManager {
    /** Time for one answer of the worker; a lease survives two lost answers. */
    private static final long WORKER_TIMEOUT_MS = 1_000;

    /** A stop waits this long for the checkpoint before it; the lease is not renewed meanwhile. */
    private static final long CHECKPOINT_TIMEOUT_MS = 5_000;

    private final Object mLock = new Object();
    private final WorkerControl mWorker;
    private final LeaseManagerOutput mOutput;
    private final LeaseSettings mSettings;
    private final Scheduler mScheduler;
    private final Map<ShardNumber, OwnerLink> mOwners = new HashMap<>();
    private final Map<ShardNumber, Long> mRequestedMs = new HashMap<>();
    private final Map<Long, SentRequest> mRequests = new LinkedHashMap<>();
    private final Map<TaskId, AttemptNumber> mLastAttempts = new HashMap<>();
    private final Map<TaskId, TaskUsage> mUsage = new HashMap<>();
    private final Map<TaskId, Single<WorkerAnswer>> mCheckpoints = new HashMap<>();
    private Optional<Incarnation> mWorkerIncarnation = Optional.empty();
    private long mNextRequest;
    private boolean mListing;
    private long mStaleEpochs;
    private long mLateGrants;
    private long mStaleAttempts;
    private long mWorkerErrors;

    /**
     * Creates a keeper that knows nothing of the worker yet.
     *
     * @param agent incarnation of the agent; request numbers are never reused by a later one
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
        mNextRequest = agent.value() << 20;
    }

    /** Lists the worker, reports its tasks and requests leases; expected every second. */
    public void tick() {
        synchronized (mLock) {
            refreshUsage();
            list();
        }
    }

    /** Handles a message of an owner; others are ignored. */
    public void onMessage(ProcessId owner, Message message) {
        synchronized (mLock) {
            if (message instanceof Fence fence) {
                fence(owner, fence);
            } else if (message instanceof StartTask start) {
                start(owner, start);
            } else if (message instanceof LeaseGrant grant) {
                granted(grant);
            } else {
                command(owner, message);
            }
        }
    }

    /** Handles the loss of the connection to an owner; it is asked again after its next Fence. */
    public void disconnected(ProcessId owner) {
        synchronized (mLock) {
            mOwners.replaceAll(
                    (shard, link) ->
                            link.owner().equals(owner)
                                    ? new OwnerLink(link.epoch(), owner, false)
                                    : link);
        }
    }

    /** Returns the counters. */
    public LeaseManagerCounters counts() {
        synchronized (mLock) {
            return new LeaseManagerCounters(
                    mStaleEpochs, mLateGrants, mStaleAttempts, mWorkerErrors);
        }
    }

    private void list() {
        if (mListing) {
            return;
        }
        mListing = true;
        call(mWorker.list().doFinally(this::listingEnded), this::listed);
    }

    private void listingEnded() {
        synchronized (mLock) {
            mListing = false;
        }
    }

    private void listed(WorkerListing listing) {
        if (!mWorkerIncarnation.equals(Optional.of(listing.incarnation()))) {
            mWorkerIncarnation = Optional.of(listing.incarnation());
            mRequests.clear();
        }
        mLastAttempts.clear();
        mCheckpoints.keySet().retainAll(tasks(listing));
        listing.tasks().forEach(task -> seen(task.task(), task.attempt()));
        mOutput.publishWorker(summary(listing));
        for (Map.Entry<ShardNumber, OwnerLink> entry : mOwners.entrySet()) {
            if (entry.getValue().connected() && requestDue(entry.getKey())) {
                request(entry.getKey(), entry.getValue().owner(), listing);
            }
        }
    }

    private boolean requestDue(ShardNumber shard) {
        Long requestedMs = mRequestedMs.get(shard);
        return requestedMs == null || nowMs() - requestedMs >= mSettings.requestIntervalMs();
    }

    /** Reports go first, so that the owner does not repeat the start of what has ended. */
    private void request(ShardNumber shard, ProcessId owner, WorkerListing listing) {
        listing.tasks().stream()
                .filter(task -> task.shard().equals(shard))
                .forEach(task -> report(owner, task));
        long nowMs = nowMs();
        mRequestedMs.put(shard, nowMs);
        mRequests.values().removeIf(sent -> nowMs - sent.sentMs() >= mSettings.leaseMs());
        long number = mNextRequest++;
        mRequests.put(number, new SentRequest(nowMs, listing.incarnation(), listing.clockMs()));
        mOutput.send(owner, new LeaseRequest(shard, number, held(listing, shard)));
    }

    private static List<TaskAttempt> held(WorkerListing listing, ShardNumber shard) {
        return held(listing).stream().filter(task -> task.shard().equals(shard)).toList();
    }

    private static List<TaskId> tasks(WorkerListing listing) {
        return listing.tasks().stream().map(WorkerTask::task).toList();
    }

    private static List<TaskAttempt> held(WorkerListing listing) {
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
                held(listing));
    }

    private void fence(ProcessId owner, Fence fence) {
        if (isStale(fence.shard(), fence.epoch())) {
            return;
        }
        call(mWorker.fence(fence.shard(), fence.epoch()), code -> fenced(owner, fence, code));
    }

    private void fenced(ProcessId owner, Fence fence, ResultCode code) {
        if (code != ResultCode.OK) {
            mStaleEpochs++;
            return;
        }
        if (isStale(fence.shard(), fence.epoch())) {
            return;
        }
        mOwners.put(fence.shard(), new OwnerLink(fence.epoch(), owner, true));
        mRequestedMs.remove(fence.shard());
        mOutput.send(owner, fence);
        list();
    }

    private void start(ProcessId owner, StartTask start) {
        if (isStale(start.shard(), start.epoch())) {
            return;
        }
        Optional<SentRequest> request = valid(start.leaseRequest(), start.leaseMs());
        if (request.isEmpty()) {
            return;
        }
        AttemptNumber last = mLastAttempts.get(start.task());
        if (last != null && last.compareTo(start.attempt()) > 0) {
            mStaleAttempts++;
            return;
        }
        seen(start.task(), start.attempt());
        call(
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
                answer -> answered(owner, answer));
    }

    private void granted(LeaseGrant grant) {
        if (isStale(grant.shard(), grant.epoch())) {
            return;
        }
        Optional<SentRequest> request = valid(grant.requestNumber(), grant.leaseMs());
        if (request.isEmpty() || grant.tasks().isEmpty()) {
            return;
        }
        call(
                mWorker.renew(
                        new WorkerRenewal(
                                grant.shard(),
                                grant.epoch(),
                                request.get().incarnation(),
                                grant.tasks(),
                                request.get().workerClockMs() + grant.leaseMs())),
                this::renewed);
    }

    private void renewed(ResultCode code) {
        if (code == ResultCode.STALE_EPOCH) {
            mStaleEpochs++;
        }
    }

    private void command(ProcessId owner, Message message) {
        if (message instanceof StopTask stop && !isStale(stop.shard(), stop.epoch())) {
            subscribe(
                    afterCheckpoint(
                            stop.task(),
                            limited(
                                    mWorker.stop(
                                            stop.shard(),
                                            stop.epoch(),
                                            stop.task(),
                                            stop.attempt()))),
                    answer -> answered(owner, answer));
        } else if (message instanceof CheckpointTask save && !isStale(save.shard(), save.epoch())) {
            checkpoint(owner, save);
        } else if (message instanceof ThrottleTask limit
                && !isStale(limit.shard(), limit.epoch())) {
            call(
                    mWorker.throttle(
                            limit.shard(),
                            limit.epoch(),
                            limit.task(),
                            limit.attempt(),
                            limit.permille()),
                    answer -> answered(owner, answer));
        }
    }

    private void checkpoint(ProcessId owner, CheckpointTask save) {
        Single<WorkerAnswer> answer =
                mWorker.checkpoint(save.shard(), save.epoch(), save.task(), save.attempt())
                        .timeout(CHECKPOINT_TIMEOUT_MS, TimeUnit.MILLISECONDS, mScheduler)
                        .cache();
        mCheckpoints.put(save.task(), answer);
        subscribe(answer, value -> answered(owner, value));
    }

    /** A stop that overtook the checkpoint before it would lose the work that it saves. */
    private Single<WorkerAnswer> afterCheckpoint(TaskId task, Single<WorkerAnswer> stop) {
        Single<WorkerAnswer> checkpoint = mCheckpoints.remove(task);
        if (checkpoint == null) {
            return stop;
        }
        return checkpoint.ignoreElement().onErrorComplete().andThen(stop);
    }

    private void answered(ProcessId owner, WorkerAnswer answer) {
        if (answer.code() == ResultCode.STALE_EPOCH) {
            mStaleEpochs++;
            return;
        }
        answer.task().ifPresent(task -> report(owner, task));
    }

    private void report(ProcessId owner, WorkerTask task) {
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
        call(
                mWorker.usage(),
                usages -> {
                    mUsage.clear();
                    usages.forEach(usage -> mUsage.put(usage.task(), usage));
                });
    }

    private boolean isStale(ShardNumber shard, Epoch epoch) {
        OwnerLink link = mOwners.get(shard);
        if (link == null || link.epoch().compareTo(epoch) <= 0) {
            return false;
        }
        mStaleEpochs++;
        return true;
    }

    /** A lease is counted from its request, so a late grant has already expired. */
    private Optional<SentRequest> valid(long number, long leaseMs) {
        Optional<SentRequest> request =
                Optional.ofNullable(mRequests.get(number))
                        .filter(sent -> nowMs() - sent.sentMs() < leaseMs);
        if (request.isEmpty()) {
            mLateGrants++;
        }
        return request;
    }

    private void seen(TaskId task, AttemptNumber attempt) {
        mLastAttempts.merge(
                task, attempt, (first, second) -> first.compareTo(second) >= 0 ? first : second);
    }

    private <T> void call(Single<T> answer, Consumer<T> handler) {
        subscribe(limited(answer), handler);
    }

    private <T> Single<T> limited(Single<T> answer) {
        return answer.timeout(WORKER_TIMEOUT_MS, TimeUnit.MILLISECONDS, mScheduler);
    }

    private <T> void subscribe(Single<T> answer, Consumer<T> handler) {
        Disposable unused =
                answer.subscribe(
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
