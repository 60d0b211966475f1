package org.hickorycleat.daemon.transport;

import io.netty.bootstrap.Bootstrap;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.WriteBufferWaterMark;
import io.netty.channel.nio.NioIoHandler;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.LengthFieldBasedFrameDecoder;
import io.netty.handler.codec.LengthFieldPrepender;
import io.netty.handler.timeout.ReadTimeoutHandler;
import java.net.InetSocketAddress;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.Supplier;

/** Listens for and opens TCP connections that carry messages. */
// Failures to connect are reported through the callback; the result of the shutdown is not needed.
@SuppressWarnings("FutureReturnValueIgnored")
public final class MessageTransport implements LinkTransport, AutoCloseable {
    /** Time without a byte from the peer after which a connection is closed, in milliseconds. */
    private static final int READ_TIMEOUT_MS = 5_000;

    private static final int CONNECT_TIMEOUT_MS = 1_000;
    private static final int LENGTH_PREFIX_BYTES = 4;

    /** Size of the write queue of a connection above which messages are rejected, in bytes. */
    private static final int WRITE_QUEUE_HIGH_BYTES = 8 << 20;

    private static final int WRITE_QUEUE_LOW_BYTES = 4 << 20;

    private final EventLoopGroup mEventLoops;
    private final MessageCodec mCodec = new MessageCodec();
    private final TransportMetrics mMetrics;

    /** Creates a transport with the given number of event loop threads. */
    public MessageTransport(int threads, TransportMetrics metrics) {
        this(new MultiThreadIoEventLoopGroup(threads, NioIoHandler.newFactory()), metrics);
    }

    /** Creates a transport on shared event loops, which {@link #close} stops. */
    public MessageTransport(EventLoopGroup eventLoops, TransportMetrics metrics) {
        mEventLoops = eventLoops;
        mMetrics = metrics;
    }

    @Override
    public void listen(InetSocketAddress address, Supplier<MessageListener> listenerFactory)
            throws InterruptedException {
        new ServerBootstrap()
                .group(mEventLoops)
                .channel(NioServerSocketChannel.class)
                .option(ChannelOption.SO_REUSEADDR, true)
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childOption(ChannelOption.WRITE_BUFFER_WATER_MARK, waterMark())
                .childHandler(initializer(listenerFactory))
                .bind(address)
                .sync();
    }

    @Override
    public void connect(
            InetSocketAddress address, MessageListener listener, Consumer<Throwable> onFailure) {
        new Bootstrap()
                .group(mEventLoops)
                .channel(NioSocketChannel.class)
                .option(ChannelOption.TCP_NODELAY, true)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MS)
                .option(ChannelOption.WRITE_BUFFER_WATER_MARK, waterMark())
                .handler(initializer(() -> listener))
                .connect(address)
                .addListener(
                        future -> {
                            if (!future.isSuccess()) {
                                onFailure.accept(future.cause());
                            }
                        });
    }

    @Override
    public void close() {
        mEventLoops.shutdownGracefully(0, 1, TimeUnit.SECONDS);
    }

    private static WriteBufferWaterMark waterMark() {
        return new WriteBufferWaterMark(WRITE_QUEUE_LOW_BYTES, WRITE_QUEUE_HIGH_BYTES);
    }

    private ChannelInitializer<Channel> initializer(Supplier<MessageListener> listenerFactory) {
        return new ChannelInitializer<>() {
            @Override
            protected void initChannel(Channel channel) {
                addHandlers((SocketChannel) channel, listenerFactory.get());
            }
        };
    }

    private void addHandlers(SocketChannel channel, MessageListener listener) {
        channel.pipeline()
                .addLast(new ReadTimeoutHandler(READ_TIMEOUT_MS, TimeUnit.MILLISECONDS))
                .addLast(
                        new LengthFieldBasedFrameDecoder(
                                MessageCodec.MAXIMUM_FRAME_BYTES + LENGTH_PREFIX_BYTES,
                                0,
                                LENGTH_PREFIX_BYTES,
                                0,
                                LENGTH_PREFIX_BYTES))
                .addLast(new LengthFieldPrepender(LENGTH_PREFIX_BYTES))
                .addLast(new MessageHandler(mCodec, mMetrics, listener));
    }
}
