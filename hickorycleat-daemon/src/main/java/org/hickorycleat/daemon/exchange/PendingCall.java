package org.hickorycleat.daemon.exchange;

import io.netty.channel.Channel;
import io.netty.channel.EventLoop;
import io.netty.util.concurrent.Future;
import io.reactivex.rxjava3.core.SingleEmitter;
import java.util.concurrent.TimeUnit;
import org.hickorycleat.logic.port.HttpCall;
import org.hickorycleat.logic.port.HttpCallException;
import org.hickorycleat.logic.port.HttpResponse;
import org.jspecify.annotations.Nullable;

/** A call that waits for its response or its time limit; used on the event loop only. */
// Closing a channel and stopping a timer have no outcome that matters.
@SuppressWarnings("FutureReturnValueIgnored")
final class PendingCall {
    private final HttpCall mCall;
    private final SingleEmitter<HttpResponse> mEmitter;
    private final NettyHttpClient mCaller;
    private final Future<?> mTimer;
    private @Nullable Channel mChannel;
    private boolean mFinished;

    PendingCall(
            HttpCall call,
            SingleEmitter<HttpResponse> emitter,
            EventLoop eventLoop,
            NettyHttpClient caller) {
        mCall = call;
        mEmitter = emitter;
        mCaller = caller;
        mTimer = eventLoop.schedule(this::onTimeout, call.timeoutMs(), TimeUnit.MILLISECONDS);
    }

    HttpCall call() {
        return mCall;
    }

    boolean isFinished() {
        return mFinished;
    }

    void onSent(Channel channel) {
        mChannel = channel;
    }

    private void onTimeout() {
        fail(new HttpCallException("no response in time", mChannel != null));
    }

    /** Ends the call without a response; its connection is not used again. */
    void fail(HttpCallException failure) {
        if (mFinished) {
            return;
        }
        mFinished = true;
        mTimer.cancel(false);
        Channel channel = mChannel;
        if (channel != null) {
            channel.close();
        }
        mEmitter.tryOnError(failure);
    }

    /** Ends the call with its response. */
    void complete(HttpResponse response, boolean keepAlive) {
        if (mFinished) {
            return;
        }
        mFinished = true;
        mTimer.cancel(false);
        Channel channel = mChannel;
        if (channel != null && keepAlive) {
            mCaller.release(mCall.address(), channel);
        } else if (channel != null) {
            channel.close();
        }
        mEmitter.onSuccess(response);
    }
}
