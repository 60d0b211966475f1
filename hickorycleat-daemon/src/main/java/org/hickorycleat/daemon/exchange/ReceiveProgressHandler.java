package org.hickorycleat.daemon.exchange;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;

/** Reports each received part of a response before the response is complete. */
final class ReceiveProgressHandler extends ChannelInboundHandlerAdapter {
    private final HttpClientHandler mClientHandler;

    ReceiveProgressHandler(HttpClientHandler clientHandler) {
        mClientHandler = clientHandler;
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object part) {
        mClientHandler.onReceived();
        context.fireChannelRead(part);
    }
}
