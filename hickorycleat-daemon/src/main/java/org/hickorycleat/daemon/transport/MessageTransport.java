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

/** Listens for and opens connections that carry messages. */
// Failures to connect are reported through the listener; a failed shutdown has nobody to tell.
@SuppressWarnings("FutureReturnValueIgnored")
public final class MessageTransport implements AutoCloseable {
    /** A peer that sends nothing for this long is closed, in milliseconds. */
    private static final int SILENCE_LIMIT_MS = 5_000;

    private static final int CONNECT_TIMEOUT_MS = 1_000;
    private static final int PREFIX_BYTES = 4;

    /** Bytes queued on a connection above which messages are refused. */
    private static final int QUEUE_HIGH_BYTES = 8 << 20;

    private static final int QUEUE_LOW_BYTES = 4 << 20;

    private final EventLoopGroup mEventLoops;
    private final MessageCodec mCodec = new MessageCodec();
    private final TransportMetrics mMetrics;

    /** Creates a transport with the given number of event loop threads. */
    public MessageTransport(int threads, TransportMetrics metrics) {
        this(new MultiThreadIoEventLoopGroup(threads, NioIoHandler.newFactory()), metrics);
    }

    /** Creates a transport on event loops that it shares with others. */
    public MessageTransport(EventLoopGroup eventLoops, TransportMetrics metrics) {
        mEventLoops = eventLoops;
        mMetrics = metrics;
    }

    /** Listens on an address; each connection gets a listener of its own. */
    public void listen(InetSocketAddress address, Supplier<MessageListener> listeners)
            throws InterruptedException {
        new ServerBootstrap()
                .group(mEventLoops)
                .channel(NioServerSocketChannel.class)
                .option(ChannelOption.SO_REUSEADDR, true)
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childOption(ChannelOption.WRITE_BUFFER_WATER_MARK, waterMark())
                .childHandler(initializer(listeners))
                .bind(address)
                .sync();
    }

    /** Opens a connection; {@code onFailure} is called when it cannot be opened. */
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
        return new WriteBufferWaterMark(QUEUE_LOW_BYTES, QUEUE_HIGH_BYTES);
    }

    private ChannelInitializer<Channel> initializer(Supplier<MessageListener> listeners) {
        return new ChannelInitializer<>() {
            @Override
            protected void initChannel(Channel channel) {
                addHandlers((SocketChannel) channel, listeners.get());
            }
        };
    }

    private void addHandlers(SocketChannel channel, MessageListener listener) {
        channel.pipeline()
                .addLast(new ReadTimeoutHandler(SILENCE_LIMIT_MS, TimeUnit.MILLISECONDS))
                .addLast(
                        new LengthFieldBasedFrameDecoder(
                                MessageCodec.MAXIMUM_FRAME_BYTES + PREFIX_BYTES,
                                0,
                                PREFIX_BYTES,
                                0,
                                PREFIX_BYTES))
                .addLast(new LengthFieldPrepender(PREFIX_BYTES))
                .addLast(new MessageHandler(mCodec, mMetrics, listener));
    }
}
