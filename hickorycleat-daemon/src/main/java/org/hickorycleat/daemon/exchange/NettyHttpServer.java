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

/** Serves one address over HTTP/1.1. */
public final class NettyHttpServer {
    /** Largest request body that is read, in bytes; the handlers know the configured limit. */
    private static final int MAXIMUM_BODY_BYTES = 1 << 20;

    /** A connection without traffic for this long is closed, in seconds. */
    private static final int IDLE_LIMIT_S = 60;

    /** Connections that may wait to be accepted. */
    private static final int BACKLOG = 512;

    private final EventLoopGroup mEventLoops;
    private final AtomicInteger mInProgress = new AtomicInteger();
    private final AtomicBoolean mClosing = new AtomicBoolean();

    /** Creates a server on the given event loops. */
    public NettyHttpServer(EventLoopGroup eventLoops) {
        mEventLoops = eventLoops;
    }

    /** Listens on an address. */
    public void listen(InetSocketAddress address, HttpHandler handler) throws InterruptedException {
        new ServerBootstrap()
                .group(mEventLoops)
                .channel(NioServerSocketChannel.class)
                .option(ChannelOption.SO_REUSEADDR, true)
                .option(ChannelOption.SO_BACKLOG, BACKLOG)
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
                .addLast(new IdleStateHandler(0, 0, IDLE_LIMIT_S))
                .addLast(new HttpServerCodec())
                .addLast(new HttpObjectAggregator(MAXIMUM_BODY_BYTES))
                .addLast(new HttpServerHandler(handler, mInProgress, mClosing));
    }

    /** Returns how many requests are being answered. */
    public int requestsInProgress() {
        return mInProgress.get();
    }

    /** Asks callers to open no further requests on their connections. */
    public void disableKeepAlive() {
        mClosing.set(true);
    }
}
