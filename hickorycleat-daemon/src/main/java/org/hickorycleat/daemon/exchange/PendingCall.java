package org.hickorycleat.daemon.exchange;

import io.netty.channel.EventLoop;
import io.netty.util.concurrent.Future;
import io.reactivex.rxjava3.core.SingleEmitter;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.hickorycleat.logic.port.DecisionLog;
import org.hickorycleat.logic.port.HttpCall;
import org.hickorycleat.logic.port.HttpCallException;
import org.hickorycleat.logic.port.HttpResponse;
import org.hickorycleat.logic.port.RepeatableResponse;
import org.jspecify.annotations.Nullable;

/**
 * A call that waits for its response or its timeout; used on the event loop only.
 *
 * <p>Its request may be on two connections; the first part of a response decides which one is used.
 * The response tells nothing of the other copies of the request, not even of one whose connection
 * has failed since.
 */
// The results of closing a channel and of cancelling a timer are not needed.
@SuppressWarnings("FutureReturnValueIgnored")
final class PendingCall {
    /** Time of a request that was sent on no connection yet. */
    private static final long NOT_SENT = Long.MIN_VALUE;

    private final HttpCall mCall;
    private final SingleEmitter<RepeatableResponse> mEmitter;
    private final NettyHttpClient mHttpClient;
    private final EventLoop mEventLoop;
    private final int mMaximumTransferMs;
    private final DecisionLog mLog;
    private Future<?> mIdleTimer;
    private @Nullable Future<?> mTransferTimer;
    private long mLastProgressNanos = System.nanoTime();
    private @Nullable Future<?> mRepeatTimer;
    private final List<ClientConnection> mConnections = new ArrayList<>();
    private long mSentNanos = NOT_SENT;
    private int mSentCopies;
    private boolean mFinished;

    PendingCall(
            HttpCall call,
            SingleEmitter<RepeatableResponse> emitter,
            EventLoop eventLoop,
            NettyHttpClient httpClient,
            int maximumTransferMs,
            DecisionLog log) {
        mCall = call;
        mEmitter = emitter;
        mHttpClient = httpClient;
        mEventLoop = eventLoop;
        mMaximumTransferMs = maximumTransferMs;
        mLog = log;
        mIdleTimer = eventLoop.schedule(this::onTimeout, call.timeoutMs(), TimeUnit.MILLISECONDS);
    }

    HttpCall call() {
        return mCall;
    }

    boolean isFinished() {
        return mFinished;
    }

    /** Returns whether the request may still be sent on a further connection. */
    boolean isWithoutResponse() {
        return !mFinished && mTransferTimer == null;
    }

    /** Notes that the request is sent on a connection. */
    void onSent(ClientConnection connection) {
        if (mConnections.isEmpty()) {
            mSentNanos = System.nanoTime();
        }
        mConnections.add(connection);
        mSentCopies++;
    }

    /** Repeats the request after a time in milliseconds unless a part of the response arrives. */
    void repeatAfter(long delayMs) {
        mRepeatTimer = mEventLoop.schedule(this::repeat, delayMs, TimeUnit.MILLISECONDS);
    }

    private void repeat() {
        if (!isWithoutResponse()) {
            return;
        }
        logSilence("call_repeated");
        mHttpClient.closeIdleSilentSince(mCall.address(), mSentNanos);
        mHttpClient.connect(this);
    }

    /** Notes that a part of the response has arrived; other connections are not needed then. */
    void onReceived(ClientConnection connection) {
        if (mFinished) {
            return;
        }
        mLastProgressNanos = System.nanoTime();
        if (mTransferTimer == null) {
            mTransferTimer =
                    mEventLoop.schedule(
                            this::onTransferTimeout, mMaximumTransferMs, TimeUnit.MILLISECONDS);
            List<ClientConnection> others =
                    mConnections.stream().filter(other -> other != connection).toList();
            mConnections.removeAll(others);
            others.forEach(other -> other.channel().close());
        }
    }

    private void onTimeout() {
        long idleNanos = System.nanoTime() - mLastProgressNanos;
        long remainingNanos = TimeUnit.MILLISECONDS.toNanos(mCall.timeoutMs()) - idleNanos;
        if (mTransferTimer != null && remainingNanos > 0) {
            mIdleTimer = mEventLoop.schedule(this::onTimeout, remainingNanos, TimeUnit.NANOSECONDS);
            return;
        }
        onSilent();
        fail(new HttpCallException("no response in time", mSentNanos != NOT_SENT));
    }

    private void onTransferTimeout() {
        onSilent();
        fail(new HttpCallException("response incomplete after maximum time", true));
    }

    // What silenced this connection may have silenced those that have carried nothing since.
    private void onSilent() {
        logSilence("call_timed_out");
        if (mSentNanos != NOT_SENT) {
            mHttpClient.closeIdleSilentSince(mCall.address(), mSentNanos);
        }
    }

    // Tells a peer that does not respond from a connection that has gone silent.
    private void logSilence(String event) {
        Optional<ClientConnection> connection = mConnections.stream().findFirst();
        mLog.record(
                event,
                "address",
                mCall.address(),
                "target",
                mCall.target(),
                "timeout_ms",
                mCall.timeoutMs(),
                "connection_age_ms",
                connection.map(ClientConnection::ageMs),
                "silent_ms",
                connection.map(ClientConnection::silentMs),
                "responses",
                connection.map(ClientConnection::responses));
    }

    private void cancelTimers() {
        mIdleTimer.cancel(false);
        Future<?> repeatTimer = mRepeatTimer;
        if (repeatTimer != null) {
            repeatTimer.cancel(false);
        }
        Future<?> transferTimer = mTransferTimer;
        if (transferTimer != null) {
            transferTimer.cancel(false);
        }
    }

    /** Ends the call if its request is on no other connection. */
    void onConnectionFailed(ClientConnection connection, String reason) {
        mConnections.remove(connection);
        if (mConnections.isEmpty()) {
            fail(new HttpCallException(reason, true));
        }
    }

    /** Ends the call if its request was sent on no connection. */
    void onConnectFailed(String reason) {
        if (mConnections.isEmpty()) {
            fail(new HttpCallException(reason, mSentNanos != NOT_SENT));
        }
    }

    private void fail(HttpCallException failure) {
        if (mFinished) {
            return;
        }
        mFinished = true;
        cancelTimers();
        List.copyOf(mConnections).forEach(connection -> connection.channel().close());
        mEmitter.tryOnError(failure);
    }

    /** Ends the call with its response, and releases the connection if it is kept alive. */
    void complete(ClientConnection connection, HttpResponse response, boolean keepAlive) {
        if (mFinished) {
            return;
        }
        mFinished = true;
        cancelTimers();
        connection.onResponse();
        if (keepAlive) {
            mHttpClient.release(mCall.address(), connection);
        } else {
            connection.channel().close();
        }
        int unansweredCopies = mSentCopies - 1;
        if (unansweredCopies > 0) {
            logRepeatedCall(response, unansweredCopies);
        }
        mEmitter.onSuccess(new RepeatableResponse(response, unansweredCopies));
    }

    private void logRepeatedCall(HttpResponse response, int unansweredCopies) {
        mLog.record(
                "repeated_call_answered",
                "address",
                mCall.address(),
                "target",
                mCall.target(),
                "status",
                response.status(),
                "unanswered_copies",
                unansweredCopies);
    }
}
