package org.hickorycleat.logic.retry;

import io.reactivex.rxjava3.core.SingleEmitter;
import io.reactivex.rxjava3.disposables.CompositeDisposable;
import io.vavr.control.Either;
import java.util.EnumSet;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Predicate;
import org.hickorycleat.logic.admission.Admission;
import org.hickorycleat.logic.routing.TargetAddress;
import org.hickorycleat.logic.routing.TargetReservation;
import org.hickorycleat.model.identifier.InstanceNumber;
import org.hickorycleat.model.identifier.ProcessId;
import org.hickorycleat.model.identifier.RequestId;
import org.hickorycleat.model.message.Cancel;
import org.hickorycleat.model.message.HttpHeader;
import org.hickorycleat.model.message.Invoke;
import org.hickorycleat.model.message.InvokeResult;
import org.hickorycleat.model.message.LoadSignal;
import org.hickorycleat.model.result.Outcome;
import org.hickorycleat.model.result.ResultCode;

/**
 * A caller's request from submission to its one result.
 *
 * <p>It has at most one attempt at a time. The thread that settles an attempt, by removing it from
 * the outstanding requests, continues the call; the deadline and the caller's departure interrupt
 * it by doing the same, or by a flag that is checked before the next attempt is sent.
 */
final class Call implements AttemptOwner {
    /** HTTP statuses with which a target says that it, not the request, is at fault. */
    private static final Set<Integer> SERVER_ERRORS = Set.of(500, 502, 503, 504);

    /** Refusals after which another target may take the request. */
    private static final Set<ResultCode> RETRIED_ELSEWHERE =
            EnumSet.of(
                    ResultCode.OVERLOADED,
                    ResultCode.NO_TARGET,
                    ResultCode.TARGET_LEAVING,
                    ResultCode.AGENT_QUEUE_FULL,
                    ResultCode.NO_CONFIGURATION,
                    ResultCode.CANCELLED,
                    ResultCode.SHUTTING_DOWN);

    /**
     * Time before the deadline at which a request that still waits at the agent is given up, so
     * that the proof that it was not run arrives in time. Availability zones are about 4 ms apart.
     */
    private static final long CLOSING_MS = 10;

    private static final LoadSignal NO_LOAD = new LoadSignal(0, 0, 0);
    private static final double MS_PER_SECOND = 1_000;

    private final RequestCoordinator mCoordinator;
    private final CallerRequest mRequest;
    private final SingleEmitter<InvokeResult> mEmitter;
    private final long mSubmittedMs;
    private final long mDeadlineMs;
    private final CompositeDisposable mTimers = new CompositeDisposable();

    // Used by the thread that continues the call only.
    private final Set<ProcessId> mTried = new HashSet<>();
    private final Set<ProcessId> mRefused = new HashSet<>();
    private Optional<InvokeResult> mRefusal = Optional.empty();
    private Optional<InvokeResult> mPossiblyRun = Optional.empty();

    // Guarded by this.
    private Optional<Attempt> mCurrent = Optional.empty();
    private Optional<Admission.AutoCloseablePermit> mPermit = Optional.empty();
    private boolean mClosing;
    private boolean mExpired;
    private boolean mDisposed;
    private boolean mDone;

    Call(
            RequestCoordinator coordinator,
            CallerRequest request,
            SingleEmitter<InvokeResult> emitter) {
        mCoordinator = coordinator;
        mRequest = request;
        mEmitter = emitter;
        mSubmittedMs = coordinator.nowMs();
        mDeadlineMs = mSubmittedMs + request.remainingMs();
    }

    void begin() {
        if (remainingMs() <= 0) {
            finish(result(ResultCode.DEADLINE_EXCEEDED));
            return;
        }
        Admission admission =
                mCoordinator
                        .admission()
                        .admit(
                                mRequest.service(),
                                mRequest.criticality(),
                                mRequest.team(),
                                remainingMs());
        if (admission instanceof Admission.Refused refused) {
            finish(refusal(refused));
        } else if (admission instanceof Admission.Admitted admitted) {
            proceed(admitted.permit());
        }
    }

    private void proceed(Admission.AutoCloseablePermit permit) {
        synchronized (this) {
            mPermit = Optional.of(permit);
        }
        long remainingMs = remainingMs();
        schedule(this::close, remainingMs - Math.min(CLOSING_MS, remainingMs / 2));
        schedule(this::expire, remainingMs);
        mEmitter.setCancellable(this::abandon);
        launch();
    }

    private void schedule(Runnable action, long delayMs) {
        boolean unused =
                mTimers.add(
                        mCoordinator
                                .scheduler()
                                .scheduleDirect(action, delayMs, TimeUnit.MILLISECONDS));
    }

    /** Makes the next attempt, at whatever target takes it. */
    private void launch() {
        Optional<InvokeResult> end = Optional.empty();
        while (end.isEmpty()) {
            Either<ResultCode, TargetReservation> reservation = reserve();
            if (reservation.isLeft()) {
                end = Optional.of(mRefusal.orElseGet(() -> result(reservation.getLeft())));
            } else if (launchAt(reservation.get())) {
                return;
            }
        }
        finish(end.get());
    }

    private Either<ResultCode, TargetReservation> reserve() {
        if (remainingMs() <= 0) {
            return Either.left(ResultCode.DEADLINE_EXCEEDED);
        }
        return mCoordinator
                .route(mRequest, mSubmittedMs)
                .flatMap(
                        instance ->
                                reserveAt(instance)
                                        .<Either<ResultCode, TargetReservation>>map(Either::right)
                                        .orElseGet(() -> Either.left(ResultCode.NO_TARGET)));
    }

    private Optional<TargetReservation> reserveAt(Optional<InstanceNumber> instance) {
        Predicate<TargetAddress> usable =
                target ->
                        !mRefused.contains(target.agent())
                                && instance.map(target.instance()::equals).orElse(true);
        return reserve(usable.and(target -> !mTried.contains(target.agent())))
                .or(() -> mTried.isEmpty() ? Optional.empty() : reserve(usable));
    }

    private Optional<TargetReservation> reserve(Predicate<TargetAddress> eligible) {
        return mCoordinator.selector().reserve(mRequest.service(), eligible);
    }

    /** Makes an attempt at a target; false when it provably was not sent and others may do. */
    private boolean launchAt(TargetReservation reservation) {
        ProcessId agent = reservation.target().agent();
        Optional<Attempt> registered =
                mCoordinator.outstanding().register(this, reservation, mCoordinator.nowMicros());
        if (registered.isEmpty()) {
            reservation.release(ResultCode.UNREACHABLE, Optional.empty(), 0);
            mRefused.add(agent);
            return finishIfInterrupted();
        }
        Attempt attempt = registered.get();
        if (mCoordinator.link().send(agent, invoke(attempt))) {
            mCoordinator.onSent(attempt);
            return true;
        }
        if (!mCoordinator.outstanding().remove(attempt)) {
            return true;
        }
        release(attempt, ResultCode.UNREACHABLE);
        mRefused.add(agent);
        return false;
    }

    private boolean finishIfInterrupted() {
        boolean interrupted = interrupted();
        if (interrupted) {
            finish(result(ResultCode.DEADLINE_EXCEEDED));
        }
        return interrupted;
    }

    private synchronized boolean interrupted() {
        return mExpired || mDisposed;
    }

    @Override
    public synchronized boolean install(Attempt attempt) {
        if (mExpired || mDisposed) {
            return false;
        }
        mCurrent = Optional.of(attempt);
        return true;
    }

    @Override
    public void onAnswer(Attempt attempt, InvokeResult result) {
        boolean serverError = SERVER_ERRORS.contains(result.status());
        // A target that fails at once would otherwise look like the fastest one.
        attempt.release(
                serverError ? ResultCode.TARGET_FAILED : result.code(),
                Optional.of(result.load()),
                mCoordinator.nowMicros());
        mTried.add(attempt.agent());
        if (result.code().outcome() == Outcome.NOT_RUN) {
            onRefusal(attempt, result);
        } else if (result.code().outcome() == Outcome.UNKNOWN) {
            onUnknown(result);
        } else if (serverError && mRequest.repeatable()) {
            // If no other target answers, the caller gets this answer.
            mPossiblyRun = Optional.of(result);
            retryOrFinish(true, result);
        } else {
            finish(result);
        }
    }

    private void onRefusal(Attempt attempt, InvokeResult result) {
        mRefusal = Optional.of(result);
        mRefused.add(attempt.agent());
        boolean retried =
                RETRIED_ELSEWHERE.contains(result.code()) && mRequest.idempotencyKey().isEmpty();
        retryOrFinish(retried, result);
    }

    private void onUnknown(InvokeResult result) {
        mPossiblyRun = Optional.of(result);
        boolean retried = mRequest.repeatable() && result.code() != ResultCode.TARGET_TIMEOUT;
        retryOrFinish(retried, result);
    }

    @Override
    public void onNotRun(Attempt attempt) {
        release(attempt, ResultCode.CANCELLED);
        mTried.add(attempt.agent());
        if (remainingMs() <= 0) {
            // The agent may have dropped its record of the request after the deadline.
            finish(result(ResultCode.OUTCOME_UNKNOWN));
            return;
        }
        boolean late = closing();
        retryOrFinish(!late, result(late ? ResultCode.DEADLINE_EXCEEDED : ResultCode.NO_TARGET));
    }

    @Override
    public void onAgentLost(Attempt attempt) {
        release(attempt, ResultCode.AGENT_LOST);
        mTried.add(attempt.agent());
        onUnknown(result(ResultCode.AGENT_LOST));
    }

    @Override
    public void onLinkLost(Attempt attempt) {
        // What cannot move to another target waits for the next connection, which resolves it.
        if (!mRequest.repeatable() || !mCoordinator.budget().tryRetry()) {
            return;
        }
        Optional<TargetReservation> other =
                reserve(target -> !target.agent().equals(attempt.agent()));
        if (other.isEmpty() || !mCoordinator.outstanding().remove(attempt)) {
            mCoordinator.budget().refund();
            other.ifPresent(unused -> unused.release(ResultCode.CANCELLED, Optional.empty(), 0));
            return;
        }
        release(attempt, ResultCode.AGENT_LOST);
        mTried.add(attempt.agent());
        mPossiblyRun = Optional.of(result(ResultCode.AGENT_LOST));
        if (!launchAt(other.get())) {
            launch();
        }
    }

    private void retryOrFinish(boolean retried, InvokeResult result) {
        if (retried && mCoordinator.budget().tryRetry()) {
            launch();
        } else {
            finish(result);
        }
    }

    private void close() {
        Optional<Attempt> current;
        synchronized (this) {
            mClosing = true;
            current = mCurrent;
        }
        current.filter(Attempt::sent)
                .filter(mCoordinator.outstanding()::contains)
                .ifPresent(this::cancelAtAgent);
    }

    private synchronized boolean closing() {
        return mClosing;
    }

    private void expire() {
        Optional<Attempt> current;
        synchronized (this) {
            mExpired = true;
            current = mCurrent;
        }
        current.filter(mCoordinator.outstanding()::remove)
                .ifPresent(
                        attempt -> {
                            release(attempt, ResultCode.TARGET_TIMEOUT);
                            cancelAtAgent(attempt);
                            finish(
                                    result(
                                            attempt.unresolved()
                                                    ? ResultCode.OUTCOME_UNKNOWN
                                                    : ResultCode.TARGET_TIMEOUT));
                        });
    }

    private void abandon() {
        Optional<Attempt> current;
        synchronized (this) {
            if (mDone) {
                return;
            }
            mDisposed = true;
            current = mCurrent;
        }
        current.filter(mCoordinator.outstanding()::remove)
                .ifPresent(
                        attempt -> {
                            release(attempt, ResultCode.CANCELLED);
                            cancelAtAgent(attempt);
                            finish(result(ResultCode.OUTCOME_UNKNOWN));
                        });
    }

    // Frees the place in the queue of the agent.
    private void cancelAtAgent(Attempt attempt) {
        boolean unused = mCoordinator.link().send(attempt.agent(), new Cancel(attempt.request()));
    }

    private void finish(InvokeResult result) {
        Optional<Admission.AutoCloseablePermit> permit;
        synchronized (this) {
            if (mDone) {
                return;
            }
            mDone = true;
            permit = mPermit;
            mTimers.dispose();
        }
        permit.ifPresent(Admission.AutoCloseablePermit::close);
        // A later refusal does not undo an earlier attempt that may have run.
        boolean refused = result.code().outcome() == Outcome.NOT_RUN;
        mEmitter.onSuccess(refused ? mPossiblyRun.orElse(result) : result);
    }

    private void release(Attempt attempt, ResultCode code) {
        attempt.release(code, Optional.empty(), mCoordinator.nowMicros());
    }

    private long remainingMs() {
        return mDeadlineMs - mCoordinator.nowMs();
    }

    private InvokeResult result(ResultCode code) {
        return new InvokeResult(lastRequest(), code, 0, List.of(), new byte[0], NO_LOAD);
    }

    private synchronized RequestId lastRequest() {
        return mCurrent.map(Attempt::request).orElse(mCoordinator.neverSent());
    }

    private InvokeResult refusal(Admission.Refused refused) {
        long seconds = (long) Math.ceil(refused.retryAfterMs() / MS_PER_SECOND);
        List<HttpHeader> headers = List.of(new HttpHeader("Retry-After", Long.toString(seconds)));
        return new InvokeResult(
                mCoordinator.neverSent(), refused.code(), 0, headers, new byte[0], NO_LOAD);
    }

    private Invoke invoke(Attempt attempt) {
        return new Invoke(
                attempt.request(),
                mRequest.service(),
                attempt.reservation().target().instance(),
                mRequest.method(),
                mRequest.path(),
                mRequest.headers(),
                mRequest.body(),
                mRequest.criticality(),
                mRequest.team(),
                remainingMs(),
                mRequest.idempotent(),
                mRequest.idempotencyKey(),
                mRequest.mappingVersion(),
                mCoordinator.outstanding().acknowledgedBelow());
    }
}
