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

/** Answers the requests of one connection one after the other. */
// A write that fails closes the channel; nobody needs its future.
@SuppressWarnings("FutureReturnValueIgnored")
final class HttpServerHandler extends SimpleChannelInboundHandler<FullHttpRequest> {
    private static final EventLog LOG = EventLog.of(HttpServerHandler.class);

    private final HttpHandler mHandler;
    private final AtomicInteger mInProgress;
    private final AtomicBoolean mClosing;
    private final Queue<Waiting> mWaiting = new ArrayDeque<>();
    private boolean mBusy;

    private record Waiting(HttpRequest request, boolean keepAlive) {}

    HttpServerHandler(HttpHandler handler, AtomicInteger inProgress, AtomicBoolean closing) {
        mHandler = handler;
        mInProgress = inProgress;
        mClosing = closing;
    }

    @Override
    protected void channelRead0(ChannelHandlerContext context, FullHttpRequest request) {
        if (!request.decoderResult().isSuccess()) {
            write(context, HttpResponse.of(400, new byte[0]), false);
            return;
        }
        mWaiting.add(new Waiting(convert(request), HttpUtil.isKeepAlive(request)));
        next(context);
    }

    private void next(ChannelHandlerContext context) {
        if (mBusy || mWaiting.isEmpty()) {
            return;
        }
        mBusy = true;
        context.channel().config().setAutoRead(false);
        Waiting waiting = mWaiting.remove();
        mInProgress.incrementAndGet();
        SingleCallbacks.subscribe(
                mHandler.handle(waiting.request()),
                response -> answer(context, response, waiting.keepAlive()),
                error -> breakOff(context, error));
    }

    private void answer(ChannelHandlerContext context, HttpResponse response, boolean keepAlive) {
        context.executor()
                .execute(
                        () -> {
                            mInProgress.decrementAndGet();
                            mBusy = false;
                            write(context, response, keepAlive && !mClosing.get());
                            context.channel().config().setAutoRead(true);
                            next(context);
                        });
    }

    private void breakOff(ChannelHandlerContext context, Throwable error) {
        LOG.event("request_failed").with("cause", error).warn();
        mInProgress.decrementAndGet();
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
        var written = context.writeAndFlush(message);
        if (!keepAlive) {
            written.addListener(ChannelFutureListener.CLOSE);
        }
    }

    private static HttpRequest convert(FullHttpRequest request) {
        Map<String, String> headers = new HashMap<>();
        request.headers()
                .forEach(
                        entry ->
                                headers.put(
                                        entry.getKey().toLowerCase(Locale.ROOT), entry.getValue()));
        byte[] body = new byte[request.content().readableBytes()];
        request.content().readBytes(body);
        String path = request.uri();
        int query = path.indexOf('?');
        return new HttpRequest(
                request.method().name(),
                query < 0 ? path : path.substring(0, query),
                query < 0 ? "" : path.substring(query + 1),
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
