package org.hickorycleat.daemon.exchange;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpServerCodec;
import io.netty.handler.timeout.IdleStateHandler;
import java.net.InetSocketAddress;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;
import org.hickorycleat.logic.port.HttpHandler;

/** Serves HTTP/1.1 on one address. */
public final class NettyHttpServer {
    /** Maximum size of a request body, in bytes; handlers enforce the configured limit. */
    private static final int MAXIMUM_BODY_BYTES = 1 << 20;

    /** Time without traffic after which a connection is closed, in seconds. */
    private static final int IDLE_TIMEOUT_S = 60;

    /** Maximum number of connections that wait to be accepted. */
    private static final int BACKLOG_CONNECTIONS = 512;

    private final EventLoopGroup mEventLoops;
    private final AtomicInteger mRequestsInProgress = new AtomicInteger();
    private final AtomicBoolean mKeepAliveDisabled = new AtomicBoolean();

    /** Creates a server on the given event loops. */
    public NettyHttpServer(EventLoopGroup eventLoops) {
        mEventLoops = eventLoops;
    }

    /** Listens on an address and passes every request to the handler. */
    public void listen(InetSocketAddress address, HttpHandler handler) throws InterruptedException {
        new ServerBootstrap()
                .group(mEventLoops)
                .channel(NioServerSocketChannel.class)
                .option(ChannelOption.SO_REUSEADDR, true)
                .option(ChannelOption.SO_BACKLOG, BACKLOG_CONNECTIONS)
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childHandler(
                        new ChannelInitializer<SocketChannel>() {
                            @Override
                            protected void initChannel(SocketChannel channel) {
                                addHandlers(channel, handler);
                            }
                        })
                .bind(address)
                .sync();
    }

    private void addHandlers(Channel channel, HttpHandler handler) {
        channel.pipeline()
                .addLast(new IdleStateHandler(0, 0, IDLE_TIMEOUT_S))
                .addLast(new HttpServerCodec())
                .addLast(new HttpObjectAggregator(MAXIMUM_BODY_BYTES))
                .addLast(new HttpServerHandler(handler, mRequestsInProgress, mKeepAliveDisabled));
    }

    /** Returns the number of requests in progress. */
    public int requestsInProgress() {
        return mRequestsInProgress.get();
    }

    /**
     * Closes every connection after its next response, so that callers send no further requests on
     * it.
     */
    public void disableKeepAlive() {
        mKeepAliveDisabled.set(true);
    }
}
