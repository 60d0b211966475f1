package org.hickorycleat.logic.invocation;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.hickorycleat.model.identifier.RequestId;
import org.hickorycleat.model.identifier.ServiceName;
import org.hickorycleat.model.manifest.Criticality;
import org.hickorycleat.model.message.Invoke;

/**
 * One execution of a request at the target, shared by all copies of a request with an idempotency
 * key.
 *
 * <p>No other lock is taken while its lock is held. It starts only while a request waits for it.
 */
final class Execution {
    /** State of the execution when a request tries to withdraw from it. */
    sealed interface Withdrawal {
        /** The execution had not started; {@code abandoned} if no other request waits for it. */
        record NotStarted(boolean abandoned) implements Withdrawal {}

        /** The target is processing it. */
        record Running() implements Withdrawal {}

        /** It has ended. */
        record Ended(ExecutionResponse response) implements Withdrawal {}
    }

    private enum State {
        WAITING,
        RUNNING,
        ENDED,
        ABANDONED
    }

    private final ServiceName mService;
    private final Optional<ScopedKey> mKey;
    private final Criticality mCriticality;
    private final long mFirstDeadlineMs;
    private final long mSequenceNumber;
    private final Map<RequestId, Waiter> mWaiters = new LinkedHashMap<>();
    private State mState = State.WAITING;
    private Optional<ExecutionResponse> mResponse = Optional.empty();
    private boolean mDiscarded;

    Execution(Invoke invoke, long deadlineMs, long number) {
        mService = invoke.service();
        mKey = ScopedKey.of(invoke);
        mCriticality = invoke.criticality();
        mFirstDeadlineMs = deadlineMs;
        mSequenceNumber = number;
    }

    ServiceName service() {
        return mService;
    }

    Optional<ScopedKey> key() {
        return mKey;
    }

    Criticality criticality() {
        return mCriticality;
    }

    /** Returns the deadline of the first request, which determines the order of the queue. */
    long firstDeadlineMs() {
        return mFirstDeadlineMs;
    }

    long sequenceNumber() {
        return mSequenceNumber;
    }

    /** Adds a request; returns false if the execution has ended or was abandoned. */
    synchronized boolean join(Waiter waiter) {
        if (mState != State.WAITING && mState != State.RUNNING) {
            return false;
        }
        mWaiters.put(waiter.request(), waiter);
        return true;
    }

    /** Removes a request unless the execution has started. */
    synchronized Withdrawal withdraw(RequestId request) {
        if (mState == State.RUNNING) {
            return new Withdrawal.Running();
        }
        if (mResponse.isPresent()) {
            return new Withdrawal.Ended(mResponse.get());
        }
        mWaiters.remove(request);
        return new Withdrawal.NotStarted(abandonIfNoWaiters());
    }

    /** Abandons the execution if no request waits for it; returns whether it will never start. */
    synchronized boolean abandonIfNoWaiters() {
        if (mState == State.WAITING && mWaiters.isEmpty()) {
            mState = State.ABANDONED;
        }
        return mState == State.ABANDONED;
    }

    synchronized boolean isAbandoned() {
        return mState == State.ABANDONED;
    }

    /** Returns whether it was abandoned or the deadlines of all its requests have passed. */
    synchronized boolean isExpired(long nowMs) {
        return mState == State.ABANDONED || deadlineMs() <= nowMs;
    }

    /** Starts it and returns the message to the target; empty if no request waits any more. */
    synchronized Optional<Invoke> start(long nowMs) {
        if (mState != State.WAITING || mWaiters.isEmpty()) {
            return Optional.empty();
        }
        mState = State.RUNNING;
        Waiter first = mWaiters.values().iterator().next();
        return Optional.of(first.invokeWithRemainingTime(deadlineMs() - nowMs));
    }

    /** Ends it and returns the requests that wait for the response. */
    synchronized List<Waiter> end(ExecutionResponse response) {
        mState = State.ENDED;
        mResponse = Optional.of(response);
        return new ArrayList<>(mWaiters.values());
    }

    /** Marks it as no longer in progress; returns true for the first call only. */
    synchronized boolean markDiscarded() {
        boolean first = !mDiscarded;
        mDiscarded = true;
        return first;
    }

    private long deadlineMs() {
        return mWaiters.values().stream()
                .mapToLong(Waiter::deadlineMs)
                .max()
                .orElse(mFirstDeadlineMs);
    }
}
