package org.hickorycleat.daemon.exchange;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpUtil;
import java.util.Map;
import org.hickorycleat.logic.port.HttpCallException;
import org.hickorycleat.logic.port.HttpResponse;
import org.jspecify.annotations.Nullable;

/** Passes the response of a connection to the call that waits for it. */
// Closing a channel has no outcome that matters.
@SuppressWarnings("FutureReturnValueIgnored")
final class HttpClientHandler extends SimpleChannelInboundHandler<FullHttpResponse> {
    private @Nullable PendingCall mPending;

    /** The next response belongs to this call. */
    void begin(PendingCall pending) {
        mPending = pending;
    }

    @Override
    protected void channelRead0(ChannelHandlerContext context, FullHttpResponse response) {
        PendingCall pending = mPending;
        mPending = null;
        if (pending == null || !response.decoderResult().isSuccess()) {
            context.close();
            if (pending != null) {
                pending.fail(new HttpCallException("malformed response", true));
            }
            return;
        }
        byte[] body = new byte[response.content().readableBytes()];
        response.content().readBytes(body);
        pending.complete(
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
            pending.fail(new HttpCallException(reason, true));
        }
    }
}
