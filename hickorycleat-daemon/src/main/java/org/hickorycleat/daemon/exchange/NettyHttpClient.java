package org.hickorycleat.daemon.exchange;

import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpClientCodec;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.reactivex.rxjava3.core.Single;
import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import org.hickorycleat.logic.port.DecisionLog;
import org.hickorycleat.logic.port.HttpCall;
import org.hickorycleat.logic.port.HttpClient;
import org.hickorycleat.logic.port.HttpResponse;
import org.hickorycleat.logic.port.RepeatableResponse;

/**
 * Makes calls over HTTP/1.1 on keep-alive connections, with one call at a time on each.
 *
 * <p>A connection whose call did not get a complete response is closed and not reused, nor are the
 * idle ones to the same address that have been silent since that call was sent.
 */
// The result of every call is reported through its Single.
@SuppressWarnings("FutureReturnValueIgnored")
public final class NettyHttpClient implements HttpClient {
    /**
     * Maximum size of a response body, in bytes; above the size of the largest page of the store.
     */
    private static final int MAXIMUM_BODY_BYTES = 4 << 20;

    /** Maximum number of idle connections to one address. */
    private static final int MAXIMUM_IDLE_CONNECTIONS = 8;

    /** Rate below which the upload of a request is not awaited before it is repeated. */
    private static final long MINIMUM_UPLOAD_BYTES_PER_MS = 250;

    /** Maximum time from the first byte of a response to its last byte, in milliseconds. */
    private static final int MAXIMUM_TRANSFER_MS = 30_000;

    private final EventLoop mEventLoop;
    private final int mMaximumTransferMs;
    private final DecisionLog mLog;
    private final Map<InetSocketAddress, Deque<ClientConnection>> mIdleConnections =
            new HashMap<>();

    /** Creates a client on one of the event loops. */
    public NettyHttpClient(EventLoopGroup eventLoops) {
        this(eventLoops, DecisionLog.NONE);
    }

    /** Creates a client on one of the event loops that logs calls without a response. */
    public NettyHttpClient(EventLoopGroup eventLoops, DecisionLog log) {
        this(eventLoops, MAXIMUM_TRANSFER_MS, log);
    }

    NettyHttpClient(EventLoopGroup eventLoops, int maximumTransferMs, DecisionLog log) {
        mEventLoop = eventLoops.next();
        mMaximumTransferMs = maximumTransferMs;
        mLog = log;
    }

    @Override
    public Single<HttpResponse> call(HttpCall call) {
        return start(call, OptionalInt.empty()).map(RepeatableResponse::response);
    }

    @Override
    public Single<RepeatableResponse> callRepeatably(HttpCall call, int repeatAfterMs) {
        return start(call, OptionalInt.of(repeatAfterMs));
    }

    private Single<RepeatableResponse> start(HttpCall call, OptionalInt repeatAfterMs) {
        return Single.create(
                emitter ->
                        mEventLoop.execute(
                                () ->
                                        start(
                                                new PendingCall(
                                                        call,
                                                        emitter,
                                                        mEventLoop,
                                                        this,
                                                        mMaximumTransferMs,
                                                        mLog),
                                                repeatAfterMs)));
    }

    private void start(PendingCall pending, OptionalInt repeatAfterMs) {
        Optional<ClientConnection> idle = takeIdle(pending.call().address());
        if (idle.isEmpty()) {
            connect(pending);
            return;
        }
        send(idle.get(), pending);
        HttpCall call = pending.call();
        long uploadMs = call.body().length / MINIMUM_UPLOAD_BYTES_PER_MS;
        repeatAfterMs.ifPresent(delayMs -> pending.repeatAfter(delayMs + uploadMs));
    }

    /** Opens a connection and sends the request of a call on it. */
    void connect(PendingCall pending) {
        new Bootstrap()
                .group(mEventLoop)
                .channel(NioSocketChannel.class)
                .option(ChannelOption.TCP_NODELAY, true)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, pending.call().timeoutMs())
                .handler(
                        new ChannelInitializer<SocketChannel>() {
                            @Override
                            protected void initChannel(SocketChannel channel) {
                                HttpClientHandler handler =
                                        new HttpClientHandler(new ClientConnection(channel));
                                // The aggregator passes on only complete responses, so progress is
                                // noted before it.
                                channel.pipeline()
                                        .addLast(new ReceiveProgressHandler(handler))
                                        .addLast(new HttpClientCodec())
                                        .addLast(new HttpObjectAggregator(MAXIMUM_BODY_BYTES))
                                        .addLast(handler);
                            }
                        })
                .connect(pending.call().address())
                .addListener(
                        (io.netty.channel.ChannelFuture connectFuture) -> {
                            if (connectFuture.isSuccess()) {
                                send(connectionOf(connectFuture.channel()), pending);
                            } else {
                                pending.onConnectFailed(String.valueOf(connectFuture.cause()));
                            }
                        });
    }

    private static ClientConnection connectionOf(Channel channel) {
        return channel.pipeline().get(HttpClientHandler.class).connection();
    }

    private Optional<ClientConnection> takeIdle(InetSocketAddress address) {
        Deque<ClientConnection> idle = mIdleConnections.getOrDefault(address, new ArrayDeque<>());
        while (!idle.isEmpty()) {
            ClientConnection connection = idle.removeLast();
            if (connection.channel().isActive()) {
                return Optional.of(connection);
            }
        }
        return Optional.empty();
    }

    /** Keeps a connection idle for a later call, or closes it if enough are idle. */
    void release(InetSocketAddress address, ClientConnection connection) {
        Deque<ClientConnection> idle =
                mIdleConnections.computeIfAbsent(address, key -> new ArrayDeque<>());
        if (!connection.channel().isActive() || idle.size() >= MAXIMUM_IDLE_CONNECTIONS) {
            connection.channel().close();
            return;
        }
        idle.addLast(connection);
    }

    /** Closes the idle connections whose peer has sent nothing since a time in nanoseconds. */
    void closeIdleSilentSince(InetSocketAddress address, long nanos) {
        Deque<ClientConnection> idle = mIdleConnections.getOrDefault(address, new ArrayDeque<>());
        idle.removeIf(
                connection -> {
                    boolean silent = !connection.hasReceivedSince(nanos);
                    if (silent) {
                        connection.channel().close();
                    }
                    return silent;
                });
    }

    private void send(ClientConnection connection, PendingCall pending) {
        if (!pending.isWithoutResponse()) {
            release(pending.call().address(), connection);
            return;
        }
        Channel channel = connection.channel();
        channel.pipeline().get(HttpClientHandler.class).setPending(pending);
        pending.onSent(connection);
        channel.writeAndFlush(toNettyRequest(pending.call()));
    }

    private static FullHttpRequest toNettyRequest(HttpCall call) {
        FullHttpRequest request =
                new DefaultFullHttpRequest(
                        HttpVersion.HTTP_1_1,
                        HttpMethod.valueOf(call.method()),
                        call.target(),
                        Unpooled.wrappedBuffer(call.body()));
        request.headers()
                .set(
                        HttpHeaderNames.HOST,
                        call.address().getAddress().getHostAddress()
                                + ":"
                                + call.address().getPort());
        if (call.body().length > 0) {
            request.headers().set(HttpHeaderNames.CONTENT_TYPE, HttpHeaderValues.APPLICATION_JSON);
        }
        HttpUtil.setContentLength(request, call.body().length);
        call.headers().forEach((name, value) -> request.headers().set(name, value));
        return request;
    }
}
