package org.hickorycleat.logic.retry;

import java.util.Optional;
import org.hickorycleat.logic.routing.TargetReservation;
import org.hickorycleat.model.identifier.ProcessId;
import org.hickorycleat.model.identifier.RequestId;
import org.hickorycleat.model.message.LoadSignal;
import org.hickorycleat.model.result.ResultCode;

/**
 * One attempt of a call at one target. Only the thread that removes it from {@link
 * OutstandingRequests} may complete it.
 */
final class Attempt {
    private final RequestId mRequest;
    private final AttemptOwner mOwner;
    private final TargetReservation mReservation;
    private final long mStartedMicros;
    // Written only under the lock of the shard.
    private volatile LinkSession mSession;
    private volatile boolean mUnresolved;
    private volatile boolean mSent;

    Attempt(
            RequestId request,
            AttemptOwner owner,
            TargetReservation reservation,
            LinkSession session,
            long startedMicros) {
        mRequest = request;
        mOwner = owner;
        mReservation = reservation;
        mSession = session;
        mStartedMicros = startedMicros;
    }

    RequestId request() {
        return mRequest;
    }

    AttemptOwner owner() {
        return mOwner;
    }

    TargetReservation reservation() {
        return mReservation;
    }

    ProcessId agent() {
        return mReservation.target().agent();
    }

    /** Returns the connection on which its response is expected. */
    LinkSession session() {
        return mSession;
    }

    /** Returns whether the connection on which it was sent was lost. */
    boolean unresolved() {
        return mUnresolved;
    }

    /**
     * Returns whether it was passed to the link. A cancellation sent earlier could be answered by
     * an older incarnation of the agent than the one that then receives the attempt.
     */
    boolean sent() {
        return mSent;
    }

    void markSent() {
        mSent = true;
    }

    void markUnresolved() {
        mUnresolved = true;
    }

    void moveTo(LinkSession session) {
        mSession = session;
        mUnresolved = true;
    }

    void release(ResultCode code, Optional<LoadSignal> load, long nowMicros) {
        mReservation.release(code, load, nowMicros - mStartedMicros);
    }
}
