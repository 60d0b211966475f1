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
 * One run of a request at the target, shared by all copies of a keyed request.
 *
 * <p>Its lock is always the innermost one. An execution starts only while a request waits for it.
 */
final class Execution {
    /** What a request that stops waiting learns about the execution. */
    sealed interface Departure {
        /** The request had not started; {@code abandoned} when no other one waits. */
        record NotStarted(boolean abandoned) implements Departure {}

        /** The target is working on it. */
        record Running() implements Departure {}

        /** It has ended. */
        record Ended(Answer answer) implements Departure {}
    }

    private enum State {
        WAITING,
        RUNNING,
        ENDED,
        ABANDONED
    }

    private final ServiceName mService;
    private final Optional<KeyId> mKey;
    private final Criticality mCriticality;
    private final long mFirstDeadlineMs;
    private final long mNumber;
    private final Map<RequestId, Waiter> mWaiters = new LinkedHashMap<>();
    private State mState = State.WAITING;
    private Optional<Answer> mAnswer = Optional.empty();
    private boolean mDiscarded;

    Execution(Invoke invoke, long deadlineMs, long number) {
        mService = invoke.service();
        mKey = KeyId.of(invoke);
        mCriticality = invoke.criticality();
        mFirstDeadlineMs = deadlineMs;
        mNumber = number;
    }

    ServiceName service() {
        return mService;
    }

    Optional<KeyId> key() {
        return mKey;
    }

    Criticality criticality() {
        return mCriticality;
    }

    /** Returns the deadline of the first request, by which the queue is ordered. */
    long firstDeadlineMs() {
        return mFirstDeadlineMs;
    }

    long number() {
        return mNumber;
    }

    /** Adds a request; false when the execution takes no more. */
    synchronized boolean join(Waiter waiter) {
        if (mState != State.WAITING && mState != State.RUNNING) {
            return false;
        }
        mWaiters.put(waiter.request(), waiter);
        return true;
    }

    /** Removes a request unless the execution has started. */
    synchronized Departure depart(RequestId request) {
        if (mState == State.RUNNING) {
            return new Departure.Running();
        }
        if (mAnswer.isPresent()) {
            return new Departure.Ended(mAnswer.get());
        }
        mWaiters.remove(request);
        return new Departure.NotStarted(abandonIfUnwanted());
    }

    /** Gives up an execution that nobody waits for; true when it will never start. */
    synchronized boolean abandonIfUnwanted() {
        if (mState == State.WAITING && mWaiters.isEmpty()) {
            mState = State.ABANDONED;
        }
        return mState == State.ABANDONED;
    }

    synchronized boolean abandoned() {
        return mState == State.ABANDONED;
    }

    /** Tells whether nobody waits for it any more or the deadlines of all its requests passed. */
    synchronized boolean expired(long nowMs) {
        return mState == State.ABANDONED || deadlineMs() <= nowMs;
    }

    /** Starts it and returns what to send to the target; empty when nobody waits any more. */
    synchronized Optional<Invoke> start(long nowMs) {
        if (mState != State.WAITING || mWaiters.isEmpty()) {
            return Optional.empty();
        }
        mState = State.RUNNING;
        Waiter first = mWaiters.values().iterator().next();
        return Optional.of(first.invokeWithRemaining(deadlineMs() - nowMs));
    }

    /** Ends it and returns the requests that wait for the answer. */
    synchronized List<Waiter> end(Answer answer) {
        mState = State.ENDED;
        mAnswer = Optional.of(answer);
        return new ArrayList<>(mWaiters.values());
    }

    /** Marks it as no longer in progress; true for the first call only. */
    synchronized boolean discard() {
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
