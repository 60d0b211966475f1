package org.hickorycleat.logic.invocation;

import io.reactivex.rxjava3.core.Scheduler;
import io.reactivex.rxjava3.core.Single;
import io.reactivex.rxjava3.disposables.Disposable;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Consumer;
import org.hickorycleat.logic.port.ResponseTooLargeException;
import org.hickorycleat.logic.port.TargetClient;
import org.hickorycleat.logic.port.TargetNotReachedException;
import org.hickorycleat.model.identifier.Incarnation;
import org.hickorycleat.model.identifier.InstanceNumber;
import org.hickorycleat.model.identifier.ProcessId;
import org.hickorycleat.model.identifier.RequestId;
import org.hickorycleat.model.identifier.ServiceName;
import org.hickorycleat.model.identifier.SessionNumber;
import org.hickorycleat.model.message.CancelResult;
import org.hickorycleat.model.message.CancelState;
import org.hickorycleat.model.message.Invoke;
import org.hickorycleat.model.message.InvokeResult;
import org.hickorycleat.model.message.LoadSignal;
import org.hickorycleat.model.result.ResultCode;

/**
 * Runs requests of entries at the local targets of an agent, each request and each idempotency key
 * at most once.
 *
 * <p>Thread-safe. Replies are given without holding a lock.
 */
public final class InvocationService {
    /**
     * Time for which the record of an ended request is kept after its deadline. A connection that
     * is silent for 5 s is closed, so no message sent before arrives this late.
     */
    static final long RETENTION_MS = 60_000;

    private static final LoadSignal NO_LOAD = new LoadSignal(0, 0, 0);

    private final TargetClient mTargetClient;
    private final Scheduler mScheduler;
    private final KeyValidity mKeyValidity;
    private final RequestRecords mRequests;
    private final KeyRecords mKeys;
    private final Map<ServiceName, HostedTarget> mTargets = new ConcurrentHashMap<>();
    private final AtomicLong mExecutionCounter = new AtomicLong();
    private final AtomicLong mFencedInvokes = new AtomicLong();
    // Includes calls of invoke, so that a drain also waits for a call that has passed its checks.
    private final AtomicInteger mInProgress = new AtomicInteger();
    private volatile boolean mLeaving;

    InvocationService(InvocationServiceBuilder builder) {
        mTargetClient = builder.mTargetClient;
        mScheduler = builder.mScheduler;
        mKeyValidity = builder.mKeyValidity;
        mRequests =
                new RequestRecords(
                        builder.mShards, new RetainedBytes(builder.mMaximumResponseBytes));
        mKeys =
                new KeyRecords(
                        builder.mShards,
                        builder.mMaximumKeyRecords,
                        mKeyValidity.retention().toMillis(),
                        new RetainedBytes(builder.mMaximumKeyBytes));
    }

    /** Returns a builder of a service. */
    public static InvocationServiceBuilder builder(TargetClient targetClient, Scheduler scheduler) {
        return new InvocationServiceBuilder(targetClient, scheduler);
    }

    /** Adds the target of a service or updates its configuration. */
    public void configure(TargetConfiguration configuration) {
        long nowMs = nowMs();
        HostedTarget created = new HostedTarget(configuration, mKeyValidity, nowMs);
        HostedTarget target = mTargets.putIfAbsent(configuration.service(), created);
        if (target != null) {
            handle(target.configure(configuration, nowMs));
        }
    }

    /**
     * Makes a session the current one of an entry; requests of older sessions do not start any
     * more.
     *
     * <p>The session is open when this method returns. An older session or incarnation is ignored.
     */
    public void openSession(ProcessId entry, Incarnation entryIncarnation, SessionNumber session) {
        mRequests.openSession(entry, entryIncarnation, session).forEach(this::discard);
    }

    /**
     * Runs a request or rejects it; {@code reply} receives the result once and must not throw.
     *
     * <p>There is no reply if the session is not the current one of the entry.
     */
    public void invoke(
            ProcessId entry, SessionNumber session, Invoke invoke, Consumer<InvokeResult> reply) {
        if (!invoke.request().entry().equals(entry)) {
            mFencedInvokes.incrementAndGet();
            return;
        }
        mInProgress.incrementAndGet();
        try {
            new Invocation(session, invoke, reply).start();
        } finally {
            mInProgress.decrementAndGet();
        }
    }

    /** Cancels a request unless it has started. */
    public CancelResult cancel(RequestId request) {
        return cancel(request, Optional.empty());
    }

    /**
     * Cancels a request unless it has started; the result of a running one goes to {@code reply}.
     */
    public CancelResult cancel(RequestId request, Consumer<InvokeResult> reply) {
        return cancel(request, Optional.of(reply));
    }

    /** Removes the records of ended requests of an entry with counters below the given one. */
    public void acknowledge(ProcessId entry, Incarnation entryIncarnation, long below) {
        mRequests.acknowledge(entry, entryIncarnation, below);
    }

    /** Rejects new requests from now on; running and waiting requests finish. */
    public void startDrain() {
        mLeaving = true;
    }

    /** Rejects new requests of one service or accepts them again. */
    public void setLeaving(ServiceName service, boolean leaving) {
        Optional.ofNullable(mTargets.get(service)).ifPresent(target -> target.setLeaving(leaving));
    }

    /** Accepts keys of an instance at once, because no earlier agent has served it. */
    public void markKeyRecordsComplete(ServiceName service, InstanceNumber instance) {
        Optional.ofNullable(mTargets.get(service))
                .ifPresent(target -> target.markKeyRecordsComplete(instance));
    }

    /** Returns the load of the target of a service. */
    public LoadSignal load(ServiceName service) {
        HostedTarget target = mTargets.get(service);
        return target == null ? NO_LOAD : target.queue().load();
    }

    /** Returns the number of requests that are checked, waiting or running. */
    public int inProgress() {
        return mInProgress.get();
    }

    /** Returns the number of requests discarded because their session was not the current one. */
    public long fencedInvokes() {
        return mFencedInvokes.get();
    }

    private CancelResult cancel(RequestId request, Optional<Consumer<InvokeResult>> reply) {
        RequestRecords.Cancellation cancellation =
                mRequests.cancel(request, reply, nowMs() + RETENTION_MS);
        if (cancellation instanceof RequestRecords.Cancellation.NotRun notRun) {
            notRun.abandoned().ifPresent(this::discard);
            return new CancelResult(request, CancelState.NOT_RUN, Optional.empty());
        }
        if (cancellation instanceof RequestRecords.Cancellation.Ended ended) {
            InvokeResult result = ended.response().toResult(request, NO_LOAD);
            return new CancelResult(request, CancelState.FINISHED, Optional.of(result));
        }
        return new CancelResult(request, CancelState.RUNNING, Optional.empty());
    }

    private void discard(Execution execution) {
        execution.key().ifPresent(key -> mKeys.remove(key, execution));
        queueOf(execution).remove(execution);
        if (execution.markDiscarded()) {
            mInProgress.decrementAndGet();
        }
    }

    private SlotQueue queueOf(Execution execution) {
        return target(execution.service()).queue();
    }

    private HostedTarget target(ServiceName service) {
        HostedTarget target = mTargets.get(service);
        if (target == null) {
            throw new IllegalStateException("no target of service " + service);
        }
        return target;
    }

    private Execution newExecution(Invoke invoke, long deadlineMs) {
        mInProgress.incrementAndGet();
        return new Execution(invoke, deadlineMs, mExecutionCounter.incrementAndGet());
    }

    private void handle(SlotQueue.QueueUpdate update) {
        update.rejected()
                .forEach(each -> end(each, ExecutionResponse.of(ResultCode.AGENT_QUEUE_FULL)));
        update.expired()
                .forEach(each -> end(each, ExecutionResponse.of(ResultCode.DEADLINE_EXCEEDED)));
        update.started().forEach(this::exchange);
    }

    private void exchange(SlotQueue.Started started) {
        Execution execution = started.execution();
        long startedMicros = mScheduler.now(TimeUnit.MICROSECONDS);
        Disposable unused =
                Single.defer(() -> mTargetClient.exchange(started.invoke()))
                        .timeout(started.invoke().remainingMs(), TimeUnit.MILLISECONDS, mScheduler)
                        .map(ExecutionResponse::of)
                        .onErrorReturn(error -> ExecutionResponse.of(codeOf(error)))
                        .subscribe(response -> finish(execution, response, startedMicros));
    }

    private static ResultCode codeOf(Throwable error) {
        if (error instanceof TargetNotReachedException) {
            return ResultCode.NO_TARGET;
        }
        if (error instanceof ResponseTooLargeException) {
            return ResultCode.ANSWER_TOO_LARGE;
        }
        return error instanceof TimeoutException
                ? ResultCode.TARGET_TIMEOUT
                : ResultCode.TARGET_FAILED;
    }

    private void finish(Execution execution, ExecutionResponse response, long startedMicros) {
        long latencyMicros = mScheduler.now(TimeUnit.MICROSECONDS) - startedMicros;
        SlotQueue.QueueUpdate update = queueOf(execution).release(latencyMicros, nowMs());
        end(execution, response);
        handle(update);
    }

    // The key is updated before any reply, so that a later copy finds the response.
    private void end(Execution execution, ExecutionResponse response) {
        long nowMs = nowMs();
        execution.key().ifPresent(key -> mKeys.end(key, execution, response, nowMs));
        List<Waiter> waiters = execution.end(response);
        LoadSignal load = load(execution.service());
        for (Waiter waiter : waiters) {
            long expiryMs = Math.max(nowMs, waiter.deadlineMs()) + RETENTION_MS;
            mRequests
                    .end(waiter, response, expiryMs)
                    .ifPresent(reply -> reply.accept(response.toResult(waiter.request(), load)));
        }
        if (execution.markDiscarded()) {
            mInProgress.decrementAndGet();
        }
    }

    private long nowMs() {
        return mScheduler.now(TimeUnit.MILLISECONDS);
    }

    /** Handles one call of {@link #invoke}. */
    private final class Invocation {
        private final SessionNumber mSession;
        private final Invoke mInvoke;
        private final Consumer<InvokeResult> mReply;
        private final long mNowMs = nowMs();
        private final long mDeadlineMs;

        Invocation(SessionNumber session, Invoke invoke, Consumer<InvokeResult> reply) {
            mSession = session;
            mInvoke = invoke;
            mReply = reply;
            mDeadlineMs = mNowMs + Math.max(0, invoke.remainingMs());
        }

        void start() {
            HostedTarget target = mTargets.get(mInvoke.service());
            if (target == null) {
                reject(ResultCode.NO_TARGET);
            } else if (mInvoke.remainingMs() <= 0) {
                reject(ResultCode.DEADLINE_EXCEEDED);
            } else if (mInvoke.idempotencyKey().isPresent() && !target.hasSameMapping(mInvoke)) {
                reject(ResultCode.MAPPING_CHANGED);
            } else {
                runOrRefuse(target);
            }
        }

        private void runOrRefuse(HostedTarget target) {
            Optional<ResultCode> rejection =
                    mLeaving
                            ? Optional.of(ResultCode.TARGET_LEAVING)
                            : target.rejection(mInvoke, mNowMs);
            Optional<ScopedKey> key = ScopedKey.of(mInvoke);
            if (key.isPresent()) {
                RequestFingerprint fingerprint = RequestFingerprint.of(mInvoke);
                while (!tryClaim(key.get(), fingerprint, rejection)) {
                    // The execution has ended in the meantime; the next claim finds its response.
                    Thread.onSpinWait();
                }
            } else if (rejection.isPresent()) {
                reject(rejection.get());
            } else {
                boolean unused = join(newExecution(mInvoke, mDeadlineMs), true);
            }
        }

        private boolean tryClaim(
                ScopedKey key, RequestFingerprint fingerprint, Optional<ResultCode> rejection) {
            KeyRecords.Claim claim =
                    mKeys.claim(
                            key,
                            fingerprint,
                            rejection,
                            () -> newExecution(mInvoke, mDeadlineMs),
                            mNowMs);
            if (claim instanceof KeyRecords.Claim.Run run) {
                return join(run.execution(), run.created());
            }
            if (claim instanceof KeyRecords.Claim.Replay replay) {
                replay(replay.response());
            } else if (claim instanceof KeyRecords.Claim.Rejected rejected) {
                reject(rejected.code());
            }
            return true;
        }

        private boolean join(Execution execution, boolean created) {
            Waiter waiter = new Waiter(mSession, mInvoke, mDeadlineMs, execution, mReply);
            RequestRecords.Registration registration = mRequests.register(waiter, mNowMs);
            if (created) {
                submit(execution);
            }
            return handleRegistration(registration);
        }

        // Another copy of a key may have joined, so the execution is submitted even if this request
        // was fenced.
        private void submit(Execution execution) {
            if (execution.abandonIfNoWaiters()) {
                discard(execution);
            } else {
                handle(queueOf(execution).submit(execution, mNowMs));
            }
        }

        private void replay(ExecutionResponse response) {
            RequestRecords.Registration registration =
                    mRequests.registerEnded(
                            mInvoke.request(), mSession, response, mDeadlineMs + RETENTION_MS);
            if (registration == RequestRecords.Registration.REGISTERED) {
                mReply.accept(response.toResult(mInvoke.request(), load(mInvoke.service())));
            } else {
                boolean unused = handleRegistration(registration);
            }
        }

        private boolean handleRegistration(RequestRecords.Registration registration) {
            switch (registration) {
                case FENCED -> mFencedInvokes.incrementAndGet();
                case CANCELLED -> reject(ResultCode.CANCELLED);
                case EXECUTION_CLOSED -> {
                    return false;
                }
                case REGISTERED -> {}
            }
            return true;
        }

        private void reject(ResultCode code) {
            mReply.accept(
                    ExecutionResponse.of(code)
                            .toResult(mInvoke.request(), load(mInvoke.service())));
        }
    }
}
