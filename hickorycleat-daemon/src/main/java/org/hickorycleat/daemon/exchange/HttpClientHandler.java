package org.hickorycleat.daemon.exchange;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpUtil;
import java.util.Map;
import org.hickorycleat.logic.port.HttpResponse;
import org.jspecify.annotations.Nullable;

/** Passes the response that arrives on a connection to the pending call. */
// The result of closing a channel is not needed.
@SuppressWarnings("FutureReturnValueIgnored")
final class HttpClientHandler extends SimpleChannelInboundHandler<FullHttpResponse> {
    private final ClientConnection mConnection;
    private @Nullable PendingCall mPending;

    HttpClientHandler(ClientConnection connection) {
        mConnection = connection;
    }

    ClientConnection connection() {
        return mConnection;
    }

    /** Sets the call to which the next response on this connection belongs. */
    void setPending(PendingCall pending) {
        mPending = pending;
    }

    /** Notes that a part of the response has arrived. */
    void onReceived() {
        mConnection.onReceived();
        PendingCall pending = mPending;
        if (pending != null) {
            pending.onReceived(mConnection);
        }
    }

    @Override
    protected void channelRead0(ChannelHandlerContext context, FullHttpResponse response) {
        PendingCall pending = mPending;
        mPending = null;
        if (pending == null || !response.decoderResult().isSuccess()) {
            context.close();
            if (pending != null) {
                pending.onConnectionFailed(mConnection, "malformed response");
            }
            return;
        }
        byte[] body = new byte[response.content().readableBytes()];
        response.content().readBytes(body);
        pending.complete(
                mConnection,
                new HttpResponse(response.status().code(), Map.of(), body),
                HttpUtil.isKeepAlive(response));
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
        failPending("connection closed");
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        failPending(String.valueOf(cause));
        context.close();
    }

    private void failPending(String reason) {
        PendingCall pending = mPending;
        mPending = null;
        if (pending != null) {
            pending.onConnectionFailed(mConnection, reason);
        }
    }
}
