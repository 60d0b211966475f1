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
 * Runs requests of entries at the targets beside an agent, each request and each key at most once.
 *
 * <p>All methods may be called by several threads. Replies are given without any lock held.
 */
public final class InvocationService {
    /**
     * Time for which the record of a settled request outlives its deadline. A connection that is
     * silent for 5 s is closed, so nothing that was sent before arrives this late.
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
    // Counts calls of invoke as well, so that a drain does not miss one that passed its checks.
    private final AtomicInteger mInProgress = new AtomicInteger();
    private volatile boolean mLeaving;

    InvocationService(InvocationServiceBuilder builder) {
        mTargetClient = builder.mTargetClient;
        mScheduler = builder.mScheduler;
        mKeyValidity = builder.mKeyValidity;
        mRequests =
                new RequestRecords(builder.mShards, new RetainedBytes(builder.mMaximumAnswerBytes));
        mKeys =
                new KeyRecords(
                        builder.mShards,
                        builder.mMaximumKeyRecords,
                        mKeyValidity.retention().toMillis(),
                        new RetainedBytes(builder.mMaximumKeyBytes));
    }

    /** Starts building a service. */
    public static InvocationServiceBuilder builder(TargetClient targetClient, Scheduler scheduler) {
        return new InvocationServiceBuilder(targetClient, scheduler);
    }

    /** Sets or changes what is known of the target of a service. */
    public void configure(TargetConfiguration configuration) {
        long nowMs = nowMs();
        HostedTarget created = new HostedTarget(configuration, mKeyValidity, nowMs);
        HostedTarget target = mTargets.putIfAbsent(configuration.service(), created);
        if (target != null) {
            apply(target.configure(configuration, nowMs));
        }
    }

    /**
     * Makes a session the current one of an entry; nothing read from an older one starts any more.
     *
     * <p>The session is open once this returns. An older session or incarnation changes nothing.
     */
    public void openSession(ProcessId entry, Incarnation entryIncarnation, SessionNumber session) {
        mRequests.openSession(entry, entryIncarnation, session).forEach(this::discard);
    }

    /**
     * Runs a request or refuses it; {@code reply} gets the result once and must not throw.
     *
     * <p>There is no reply when the session is not the current one of the entry.
     */
    public void invoke(
            ProcessId entry, SessionNumber session, Invoke invoke, Consumer<InvokeResult> reply) {
        if (!invoke.request().entry().equals(entry)) {
            mFencedInvokes.incrementAndGet();
            return;
        }
        mInProgress.incrementAndGet();
        try {
            new Invocation(session, invoke, reply).proceed();
        } finally {
            mInProgress.decrementAndGet();
        }
    }

    /** Cancels a request unless it has started. */
    public CancelResult cancel(RequestId request) {
        return cancel(request, Optional.empty());
    }

    /** Cancels a request unless it has started; a running one replies to {@code reply} instead. */
    public CancelResult cancel(RequestId request, Consumer<InvokeResult> reply) {
        return cancel(request, Optional.of(reply));
    }

    /** Drops the records of settled requests of an entry whose counter is below the given one. */
    public void acknowledge(ProcessId entry, Incarnation entryIncarnation, long below) {
        mRequests.acknowledge(entry, entryIncarnation, below);
    }

    /** Refuses everything new from now on; what runs or waits finishes. */
    public void startDrain() {
        mLeaving = true;
    }

    /** Refuses new requests of one service, or takes them again. */
    public void setLeaving(ServiceName service, boolean leaving) {
        Optional.ofNullable(mTargets.get(service)).ifPresent(target -> target.setLeaving(leaving));
    }

    /** Accepts keys of an instance at once, because no earlier agent has served it. */
    public void markKeyRecordsComplete(ServiceName service, InstanceNumber instance) {
        Optional.ofNullable(mTargets.get(service))
                .ifPresent(target -> target.trustKeyMemory(instance));
    }

    /** Returns the load of the target of a service. */
    public LoadSignal load(ServiceName service) {
        HostedTarget target = mTargets.get(service);
        return target == null ? NO_LOAD : target.queue().load();
    }

    /** Returns the number of requests that are being checked, wait or run. */
    public int inProgress() {
        return mInProgress.get();
    }

    /** Returns the number of requests dropped because their session was not the current one. */
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
            InvokeResult result = ended.answer().toResult(request, NO_LOAD);
            return new CancelResult(request, CancelState.FINISHED, Optional.of(result));
        }
        return new CancelResult(request, CancelState.RUNNING, Optional.empty());
    }

    private void discard(Execution execution) {
        execution.key().ifPresent(key -> mKeys.forget(key, execution));
        queueOf(execution).remove(execution);
        if (execution.discard()) {
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

    private void apply(SlotQueue.Change change) {
        change.full().forEach(each -> end(each, Answer.of(ResultCode.AGENT_QUEUE_FULL)));
        change.expired().forEach(each -> end(each, Answer.of(ResultCode.DEADLINE_EXCEEDED)));
        change.started().forEach(this::exchange);
    }

    private void exchange(SlotQueue.Started started) {
        Execution execution = started.execution();
        long startedMicros = mScheduler.now(TimeUnit.MICROSECONDS);
        Disposable unused =
                Single.defer(() -> mTargetClient.exchange(started.invoke()))
                        .timeout(started.invoke().remainingMs(), TimeUnit.MILLISECONDS, mScheduler)
                        .map(Answer::of)
                        .onErrorReturn(error -> Answer.of(codeOf(error)))
                        .subscribe(answer -> finish(execution, answer, startedMicros));
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

    private void finish(Execution execution, Answer answer, long startedMicros) {
        long latencyMicros = mScheduler.now(TimeUnit.MICROSECONDS) - startedMicros;
        SlotQueue.Change change = queueOf(execution).release(latencyMicros, nowMs());
        end(execution, answer);
        apply(change);
    }

    // The key is settled before anyone hears of the end, so that a repeat finds the answer.
    private void end(Execution execution, Answer answer) {
        long nowMs = nowMs();
        execution.key().ifPresent(key -> mKeys.end(key, execution, answer, nowMs));
        List<Waiter> waiters = execution.end(answer);
        LoadSignal load = load(execution.service());
        for (Waiter waiter : waiters) {
            long droppedFromMs = Math.max(nowMs, waiter.deadlineMs()) + RETENTION_MS;
            mRequests
                    .end(waiter, answer, droppedFromMs)
                    .ifPresent(reply -> reply.accept(answer.toResult(waiter.request(), load)));
        }
        if (execution.discard()) {
            mInProgress.decrementAndGet();
        }
    }

    private long nowMs() {
        return mScheduler.now(TimeUnit.MILLISECONDS);
    }

    /** One call of {@link #invoke}. */
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

        void proceed() {
            HostedTarget target = mTargets.get(mInvoke.service());
            if (target == null) {
                refuse(ResultCode.NO_TARGET);
            } else if (mInvoke.remainingMs() <= 0) {
                refuse(ResultCode.DEADLINE_EXCEEDED);
            } else if (mInvoke.idempotencyKey().isPresent() && !target.sameMapping(mInvoke)) {
                refuse(ResultCode.MAPPING_CHANGED);
            } else {
                decide(target);
            }
        }

        private void decide(HostedTarget target) {
            Optional<ResultCode> refusal =
                    mLeaving
                            ? Optional.of(ResultCode.TARGET_LEAVING)
                            : target.refusal(mInvoke, mNowMs);
            Optional<KeyId> key = KeyId.of(mInvoke);
            if (key.isPresent()) {
                RequestFingerprint fingerprint = RequestFingerprint.of(mInvoke);
                while (!tryClaim(key.get(), fingerprint, refusal)) {
                    // The execution ended meanwhile; the next claim finds its answer.
                    Thread.onSpinWait();
                }
            } else if (refusal.isPresent()) {
                refuse(refusal.get());
            } else {
                boolean unused = join(newExecution(mInvoke, mDeadlineMs), true);
            }
        }

        private boolean tryClaim(
                KeyId key, RequestFingerprint fingerprint, Optional<ResultCode> refusal) {
            KeyRecords.Claim claim =
                    mKeys.claim(
                            key,
                            fingerprint,
                            refusal,
                            () -> newExecution(mInvoke, mDeadlineMs),
                            mNowMs);
            if (claim instanceof KeyRecords.Claim.Run run) {
                return join(run.execution(), run.created());
            }
            if (claim instanceof KeyRecords.Claim.Replay replay) {
                replay(replay.answer());
            } else if (claim instanceof KeyRecords.Claim.Refused refused) {
                refuse(refused.code());
            }
            return true;
        }

        private boolean join(Execution execution, boolean created) {
            Waiter waiter = new Waiter(mSession, mInvoke, mDeadlineMs, execution, mReply);
            RequestRecords.Registration registration = mRequests.register(waiter, mNowMs);
            if (created) {
                submit(execution);
            }
            return settled(registration);
        }

        // Another copy of a key may have joined, so the execution is submitted even if this one
        // was fenced.
        private void submit(Execution execution) {
            if (execution.abandonIfUnwanted()) {
                discard(execution);
            } else {
                apply(queueOf(execution).submit(execution, mNowMs));
            }
        }

        private void replay(Answer answer) {
            RequestRecords.Registration registration =
                    mRequests.registerEnded(
                            mInvoke.request(), mSession, answer, mDeadlineMs + RETENTION_MS);
            if (registration == RequestRecords.Registration.REGISTERED) {
                mReply.accept(answer.toResult(mInvoke.request(), load(mInvoke.service())));
            } else {
                boolean unused = settled(registration);
            }
        }

        private boolean settled(RequestRecords.Registration registration) {
            switch (registration) {
                case FENCED -> mFencedInvokes.incrementAndGet();
                case CANCELLED -> refuse(ResultCode.CANCELLED);
                case EXECUTION_CLOSED -> {
                    return false;
                }
                case REGISTERED -> {}
            }
            return true;
        }

        private void refuse(ResultCode code) {
            mReply.accept(Answer.of(code).toResult(mInvoke.request(), load(mInvoke.service())));
        }
    }
}
