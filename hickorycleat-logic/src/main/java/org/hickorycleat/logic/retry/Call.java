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
 * Handles a caller's request from its submission to its only result.
 *
 * <p>There is at most one attempt at a time. The thread that removes the attempt from the
 * outstanding requests continues the call. The deadline and a cancellation by the caller either
 * remove the attempt themselves or set a flag that is checked before the next attempt is sent.
 */
final class Call implements AttemptOwner {
    /** HTTP statuses that report a fault of the target rather than of the request. */
    private static final Set<Integer> SERVER_ERRORS = Set.of(500, 502, 503, 504);

    /** Rejections after which another target may accept the request. */
    private static final Set<ResultCode> RETRYABLE_REJECTIONS =
            EnumSet.of(
                    ResultCode.OVERLOADED,
                    ResultCode.NO_TARGET,
                    ResultCode.TARGET_LEAVING,
                    ResultCode.AGENT_QUEUE_FULL,
                    ResultCode.NO_CONFIGURATION,
                    ResultCode.CANCELLED,
                    ResultCode.SHUTTING_DOWN);

    /**
     * Time before the deadline at which a request that still waits at the agent is cancelled, so
     * that the confirmation that it did not run arrives in time. The latency between availability
     * zones is about 4 ms.
     */
    private static final long CANCEL_BEFORE_DEADLINE_MS = 10;

    private static final LoadSignal NO_LOAD = new LoadSignal(0, 0, 0);
    private static final double MS_PER_SECOND = 1_000;

    private final RequestCoordinator mCoordinator;
    private final CallerRequest mRequest;
    private final SingleEmitter<InvokeResult> mEmitter;
    private final long mSubmittedMs;
    private final long mDeadlineMs;
    private final CompositeDisposable mTimers = new CompositeDisposable();

    // Accessed only by the thread that continues the call.
    private final Set<ProcessId> mTriedAgents = new HashSet<>();
    private final Set<ProcessId> mRejectingAgents = new HashSet<>();
    private Optional<InvokeResult> mLastRejection = Optional.empty();
    private Optional<InvokeResult> mPossiblyRunResult = Optional.empty();

    // Guarded by this.
    private Optional<Attempt> mCurrent = Optional.empty();
    private Optional<Admission.AdmissionPermit> mPermit = Optional.empty();
    private boolean mDeadlineNear;
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

    void start() {
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
        if (admission instanceof Admission.Rejected rejected) {
            finish(rejection(rejected));
        } else if (admission instanceof Admission.Admitted admitted) {
            startAdmitted(admitted.permit());
        }
    }

    private void startAdmitted(Admission.AdmissionPermit permit) {
        synchronized (this) {
            mPermit = Optional.of(permit);
        }
        long remainingMs = remainingMs();
        schedule(
                this::onDeadlineNear,
                remainingMs - Math.min(CANCEL_BEFORE_DEADLINE_MS, remainingMs / 2));
        schedule(this::onDeadline, remainingMs);
        mEmitter.setCancellable(this::onCallerDisconnected);
        attemptNext();
    }

    private void schedule(Runnable action, long delayMs) {
        boolean unused =
                mTimers.add(
                        mCoordinator
                                .scheduler()
                                .scheduleDirect(action, delayMs, TimeUnit.MILLISECONDS));
    }

    /** Makes the next attempt at any target that accepts it, or finishes the call. */
    private void attemptNext() {
        Optional<InvokeResult> finalResult = Optional.empty();
        while (finalResult.isEmpty()) {
            Either<ResultCode, TargetReservation> reservation = reserve();
            if (reservation.isLeft()) {
                finalResult =
                        Optional.of(mLastRejection.orElseGet(() -> result(reservation.getLeft())));
            } else if (attemptAt(reservation.get())) {
                return;
            }
        }
        finish(finalResult.get());
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
                        !mRejectingAgents.contains(target.agent())
                                && instance.map(target.instance()::equals).orElse(true);
        return reserve(usable.and(target -> !mTriedAgents.contains(target.agent())))
                .or(() -> mTriedAgents.isEmpty() ? Optional.empty() : reserve(usable));
    }

    private Optional<TargetReservation> reserve(Predicate<TargetAddress> eligible) {
        return mCoordinator.selector().reserve(mRequest.service(), eligible);
    }

    /** Makes an attempt; returns false if it was certainly not sent and others may be tried. */
    private boolean attemptAt(TargetReservation reservation) {
        ProcessId agent = reservation.target().agent();
        Optional<Attempt> registered =
                mCoordinator.outstanding().register(this, reservation, mCoordinator.nowMicros());
        if (registered.isEmpty()) {
            reservation.release(ResultCode.UNREACHABLE, Optional.empty(), 0);
            mRejectingAgents.add(agent);
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
        mRejectingAgents.add(agent);
        return false;
    }

    private boolean finishIfInterrupted() {
        boolean interrupted = isInterrupted();
        if (interrupted) {
            finish(result(ResultCode.DEADLINE_EXCEEDED));
        }
        return interrupted;
    }

    private synchronized boolean isInterrupted() {
        return mExpired || mDisposed;
    }

    @Override
    public synchronized boolean makeCurrent(Attempt attempt) {
        if (mExpired || mDisposed) {
            return false;
        }
        mCurrent = Optional.of(attempt);
        return true;
    }

    @Override
    public void onResponse(Attempt attempt, InvokeResult result) {
        boolean serverError = SERVER_ERRORS.contains(result.status());
        // Otherwise a target that fails immediately would appear to be the fastest one.
        attempt.release(
                serverError ? ResultCode.TARGET_FAILED : result.code(),
                Optional.of(result.load()),
                mCoordinator.nowMicros());
        mTriedAgents.add(attempt.agent());
        if (result.code().outcome() == Outcome.NOT_RUN) {
            onRejection(attempt, result);
        } else if (result.code().outcome() == Outcome.UNKNOWN) {
            onUnknown(result);
        } else if (serverError && mRequest.isRepeatable()) {
            // The caller receives this response if no other target responds.
            mPossiblyRunResult = Optional.of(result);
            retryOrFinish(true, result);
        } else {
            finish(result);
        }
    }

    private void onRejection(Attempt attempt, InvokeResult result) {
        mLastRejection = Optional.of(result);
        mRejectingAgents.add(attempt.agent());
        boolean mayRetry =
                RETRYABLE_REJECTIONS.contains(result.code()) && mRequest.idempotencyKey().isEmpty();
        retryOrFinish(mayRetry, result);
    }

    private void onUnknown(InvokeResult result) {
        mPossiblyRunResult = Optional.of(result);
        boolean mayRetry = mRequest.isRepeatable() && result.code() != ResultCode.TARGET_TIMEOUT;
        retryOrFinish(mayRetry, result);
    }

    @Override
    public void onNotRun(Attempt attempt) {
        release(attempt, ResultCode.CANCELLED);
        mTriedAgents.add(attempt.agent());
        if (remainingMs() <= 0) {
            // The agent may have removed its record of the request after the deadline.
            finish(result(ResultCode.OUTCOME_UNKNOWN));
            return;
        }
        boolean deadlineNear = isDeadlineNear();
        retryOrFinish(
                !deadlineNear,
                result(deadlineNear ? ResultCode.DEADLINE_EXCEEDED : ResultCode.NO_TARGET));
    }

    @Override
    public void onAgentLost(Attempt attempt) {
        release(attempt, ResultCode.AGENT_LOST);
        mTriedAgents.add(attempt.agent());
        onUnknown(result(ResultCode.AGENT_LOST));
    }

    @Override
    public void onLinkLost(Attempt attempt) {
        // Other attempts wait for the next connection, on which their outcome is resolved.
        if (!mRequest.isRepeatable() || !mCoordinator.budget().tryAcquire()) {
            return;
        }
        Optional<TargetReservation> otherReservation =
                reserve(target -> !target.agent().equals(attempt.agent()));
        if (otherReservation.isEmpty() || !mCoordinator.outstanding().remove(attempt)) {
            mCoordinator.budget().refund();
            otherReservation.ifPresent(
                    unused -> unused.release(ResultCode.CANCELLED, Optional.empty(), 0));
            return;
        }
        release(attempt, ResultCode.AGENT_LOST);
        mTriedAgents.add(attempt.agent());
        mPossiblyRunResult = Optional.of(result(ResultCode.AGENT_LOST));
        if (!attemptAt(otherReservation.get())) {
            attemptNext();
        }
    }

    private void retryOrFinish(boolean mayRetry, InvokeResult result) {
        if (mayRetry && mCoordinator.budget().tryAcquire()) {
            attemptNext();
        } else {
            finish(result);
        }
    }

    private void onDeadlineNear() {
        Optional<Attempt> current;
        synchronized (this) {
            mDeadlineNear = true;
            current = mCurrent;
        }
        current.filter(Attempt::sent)
                .filter(mCoordinator.outstanding()::contains)
                .ifPresent(this::cancelAtAgent);
    }

    private synchronized boolean isDeadlineNear() {
        return mDeadlineNear;
    }

    private void onDeadline() {
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

    private void onCallerDisconnected() {
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

    // Removes the request from the queue of the agent.
    private void cancelAtAgent(Attempt attempt) {
        boolean unused = mCoordinator.link().send(attempt.agent(), new Cancel(attempt.request()));
    }

    private void finish(InvokeResult result) {
        Optional<Admission.AdmissionPermit> permit;
        synchronized (this) {
            if (mDone) {
                return;
            }
            mDone = true;
            permit = mPermit;
            mTimers.dispose();
        }
        permit.ifPresent(Admission.AdmissionPermit::close);
        // A later rejection must not hide that an earlier attempt may have run.
        boolean rejected = result.code().outcome() == Outcome.NOT_RUN;
        mEmitter.onSuccess(rejected ? mPossiblyRunResult.orElse(result) : result);
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
        return mCurrent.map(Attempt::request).orElse(mCoordinator.unsentRequest());
    }

    private InvokeResult rejection(Admission.Rejected rejected) {
        long seconds = (long) Math.ceil(rejected.retryAfterMs() / MS_PER_SECOND);
        List<HttpHeader> headers = List.of(new HttpHeader("Retry-After", Long.toString(seconds)));
        return new InvokeResult(
                mCoordinator.unsentRequest(), rejected.code(), 0, headers, new byte[0], NO_LOAD);
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
