package org.hickorycleat.daemon.exchange;

import io.netty.channel.EventLoop;
import io.netty.util.concurrent.Future;
import io.reactivex.rxjava3.core.SingleEmitter;
import java.util.concurrent.TimeUnit;
import org.hickorycleat.logic.port.DecisionLog;
import org.hickorycleat.logic.port.HttpCall;
import org.hickorycleat.logic.port.HttpCallException;
import org.hickorycleat.logic.port.HttpResponse;
import org.jspecify.annotations.Nullable;

/** A call that waits for its response or its timeout; used on the event loop only. */
// The results of closing a channel and of cancelling a timer are not needed.
@SuppressWarnings("FutureReturnValueIgnored")
final class PendingCall {
    private final HttpCall mCall;
    private final SingleEmitter<HttpResponse> mEmitter;
    private final NettyHttpClient mHttpClient;
    private final EventLoop mEventLoop;
    private final int mMaximumTransferMs;
    private final DecisionLog mLog;
    private Future<?> mIdleTimer;
    private @Nullable Future<?> mTransferTimer;
    private long mLastProgressNanos = System.nanoTime();
    private @Nullable ClientConnection mConnection;
    private long mSentNanos;
    private boolean mFinished;

    PendingCall(
            HttpCall call,
            SingleEmitter<HttpResponse> emitter,
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

    void onSent(ClientConnection connection) {
        mConnection = connection;
        mSentNanos = System.nanoTime();
    }

    /** Notes that a part of the response has arrived. */
    void onReceived() {
        if (mFinished) {
            return;
        }
        mLastProgressNanos = System.nanoTime();
        if (mTransferTimer == null) {
            mTransferTimer =
                    mEventLoop.schedule(
                            this::onTransferTimeout, mMaximumTransferMs, TimeUnit.MILLISECONDS);
        }
    }

    private void onTimeout() {
        long idleNanos = System.nanoTime() - mLastProgressNanos;
        long remainingNanos = TimeUnit.MILLISECONDS.toNanos(mCall.timeoutMs()) - idleNanos;
        if (mTransferTimer != null && remainingNanos > 0) {
            mIdleTimer = mEventLoop.schedule(this::onTimeout, remainingNanos, TimeUnit.NANOSECONDS);
            return;
        }
        onConnectionSilent();
        fail(new HttpCallException("no response in time", mConnection != null));
    }

    private void onTransferTimeout() {
        onConnectionSilent();
        fail(new HttpCallException("response incomplete after maximum time", true));
    }

    // What silenced this connection may have silenced those that have carried nothing since.
    private void onConnectionSilent() {
        ClientConnection connection = mConnection;
        logTimeout(connection);
        if (connection != null) {
            mHttpClient.closeIdleSilentSince(mCall.address(), mSentNanos);
        }
    }

    // Tells a peer that does not respond from a connection that has gone silent.
    private void logTimeout(@Nullable ClientConnection connection) {
        mLog.record(
                "call_timed_out",
                "address",
                mCall.address(),
                "target",
                mCall.target(),
                "timeout_ms",
                mCall.timeoutMs(),
                "connection_age_ms",
                connection == null ? "none" : connection.ageMs(),
                "silent_ms",
                connection == null ? "none" : connection.silentMs(),
                "responses",
                connection == null ? 0 : connection.responses());
    }

    private void cancelTimers() {
        mIdleTimer.cancel(false);
        Future<?> transferTimer = mTransferTimer;
        if (transferTimer != null) {
            transferTimer.cancel(false);
        }
    }

    /** Ends the call without a response, and closes its connection. */
    void fail(HttpCallException failure) {
        if (mFinished) {
            return;
        }
        mFinished = true;
        cancelTimers();
        ClientConnection connection = mConnection;
        if (connection != null) {
            connection.channel().close();
        }
        mEmitter.tryOnError(failure);
    }

    /** Ends the call with its response, and releases the connection if it is kept alive. */
    void complete(HttpResponse response, boolean keepAlive) {
        if (mFinished) {
            return;
        }
        mFinished = true;
        cancelTimers();
        ClientConnection connection = mConnection;
        if (connection != null) {
            connection.onResponse();
            if (keepAlive) {
                mHttpClient.release(mCall.address(), connection);
            } else {
                connection.channel().close();
            }
        }
        mEmitter.onSuccess(response);
    }
}
