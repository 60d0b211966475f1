package org.hickorycleat.daemon.fleet;

import io.netty.channel.Channel;
import io.netty.channel.ChannelDuplexHandler;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelPromise;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.channel.socket.SocketChannel;
import io.netty.util.ReferenceCountUtil;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/** Event loops of one process, whose open connections can be silenced for good. */
final class SilenceableEventLoops extends MultiThreadIoEventLoopGroup {
    private final Set<Channel> mConnections = ConcurrentHashMap.newKeySet();

    SilenceableEventLoops() {
        super(1, NioIoHandler.newFactory());
    }

    /** Discards all that the open connections send, and reads nothing from them any more. */
    void silenceOpenConnections() {
        for (Channel connection : mConnections) {
            if (connection.isActive()) {
                connection.config().setAutoRead(false);
                connection.pipeline().addFirst(new DiscardingHandler());
            }
        }
        mConnections.clear();
    }

    @Override
    public ChannelFuture register(Channel channel) {
        if (channel instanceof SocketChannel) {
            mConnections.add(channel);
            channel.closeFuture().addListener(closed -> mConnections.remove(channel));
        }
        return super.register(channel);
    }

    /** Discards what is written or was received. */
    private static final class DiscardingHandler extends ChannelDuplexHandler {
        @Override
        public void channelRead(ChannelHandlerContext context, Object message) {
            ReferenceCountUtil.release(message);
        }

        @Override
        public void write(ChannelHandlerContext context, Object message, ChannelPromise promise) {
            ReferenceCountUtil.release(message);
            if (!promise.isVoid()) {
                promise.setSuccess();
            }
        }
    }
}
