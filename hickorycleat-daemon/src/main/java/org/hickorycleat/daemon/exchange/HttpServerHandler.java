package org.hickorycleat.daemon.exchange;

import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.timeout.IdleStateEvent;
import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.Locale;
import java.util.Map;
import java.util.Queue;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;
import org.hickorycleat.daemon.logging.EventLog;
import org.hickorycleat.logic.port.HttpHandler;
import org.hickorycleat.logic.port.HttpRequest;
import org.hickorycleat.logic.port.HttpResponse;
import org.hickorycleat.logic.port.SingleCallbacks;

/** Handles the requests of one connection one at a time, in the order of arrival. */
// A write that fails closes the channel, so its future is not needed.
@SuppressWarnings("FutureReturnValueIgnored")
final class HttpServerHandler extends SimpleChannelInboundHandler<FullHttpRequest> {
    private static final EventLog LOG = EventLog.of(HttpServerHandler.class);

    private final HttpHandler mHandler;
    private final AtomicInteger mRequestsInProgress;
    private final AtomicBoolean mKeepAliveDisabled;
    private final Queue<QueuedRequest> mQueue = new ArrayDeque<>();
    private boolean mBusy;

    private record QueuedRequest(HttpRequest request, boolean keepAlive) {}

    HttpServerHandler(
            HttpHandler handler,
            AtomicInteger requestsInProgress,
            AtomicBoolean keepAliveDisabled) {
        mHandler = handler;
        mRequestsInProgress = requestsInProgress;
        mKeepAliveDisabled = keepAliveDisabled;
    }

    @Override
    protected void channelRead0(ChannelHandlerContext context, FullHttpRequest request) {
        if (!request.decoderResult().isSuccess()) {
            write(context, HttpResponse.of(400, new byte[0]), false);
            return;
        }
        mQueue.add(new QueuedRequest(toHttpRequest(request), HttpUtil.isKeepAlive(request)));
        handleNext(context);
    }

    private void handleNext(ChannelHandlerContext context) {
        if (mBusy || mQueue.isEmpty()) {
            return;
        }
        mBusy = true;
        context.channel().config().setAutoRead(false);
        QueuedRequest queued = mQueue.remove();
        mRequestsInProgress.incrementAndGet();
        SingleCallbacks.subscribe(
                mHandler.handle(queued.request()),
                response -> respond(context, response, queued.keepAlive()),
                error -> abort(context, error));
    }

    private void respond(ChannelHandlerContext context, HttpResponse response, boolean keepAlive) {
        context.executor()
                .execute(
                        () -> {
                            mRequestsInProgress.decrementAndGet();
                            mBusy = false;
                            write(context, response, keepAlive && !mKeepAliveDisabled.get());
                            context.channel().config().setAutoRead(true);
                            handleNext(context);
                        });
    }

    private void abort(ChannelHandlerContext context, Throwable error) {
        LOG.event("request_failed").with("cause", error).warn();
        mRequestsInProgress.decrementAndGet();
        context.close();
    }

    private static void write(
            ChannelHandlerContext context, HttpResponse response, boolean keepAlive) {
        FullHttpResponse message =
                new DefaultFullHttpResponse(
                        HttpVersion.HTTP_1_1,
                        HttpResponseStatus.valueOf(response.status()),
                        Unpooled.wrappedBuffer(response.body()));
        response.headers().forEach((name, value) -> message.headers().set(name, value));
        if (!message.headers().contains(HttpHeaderNames.CONTENT_TYPE)) {
            message.headers().set(HttpHeaderNames.CONTENT_TYPE, HttpHeaderValues.APPLICATION_JSON);
        }
        HttpUtil.setContentLength(message, response.body().length);
        HttpUtil.setKeepAlive(message, keepAlive);
        var writeFuture = context.writeAndFlush(message);
        if (!keepAlive) {
            writeFuture.addListener(ChannelFutureListener.CLOSE);
        }
    }

    private static HttpRequest toHttpRequest(FullHttpRequest request) {
        Map<String, String> headers = new HashMap<>();
        request.headers()
                .forEach(
                        header ->
                                headers.put(
                                        header.getKey().toLowerCase(Locale.ROOT),
                                        header.getValue()));
        byte[] body = new byte[request.content().readableBytes()];
        request.content().readBytes(body);
        String uri = request.uri();
        int queryStart = uri.indexOf('?');
        return new HttpRequest(
                request.method().name(),
                queryStart < 0 ? uri : uri.substring(0, queryStart),
                queryStart < 0 ? "" : uri.substring(queryStart + 1),
                headers,
                body);
    }

    @Override
    public void userEventTriggered(ChannelHandlerContext context, Object event) {
        if (event instanceof IdleStateEvent && !mBusy) {
            context.close();
        }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        LOG.event("connection_failed")
                .with("peer", context.channel().remoteAddress())
                .with("cause", cause)
                .info();
        context.close();
    }
}
