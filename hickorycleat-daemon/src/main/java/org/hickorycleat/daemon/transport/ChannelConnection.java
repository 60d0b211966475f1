package org.hickorycleat.daemon.transport;

import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelPromise;
import org.hickorycleat.daemon.logging.EventLog;
import org.hickorycleat.model.message.Message;

/** Sends messages on a channel. */
// A write that fails closes the channel, which is reported to the listener, so its future is not
// needed.
@SuppressWarnings("FutureReturnValueIgnored")
final class ChannelConnection implements MessageConnection {
    private static final EventLog LOG = EventLog.of(ChannelConnection.class);

    private final Channel mChannel;
    private final MessageCodec mCodec;
    private final TransportMetrics mMetrics;

    ChannelConnection(Channel channel, MessageCodec codec, TransportMetrics metrics) {
        mChannel = channel;
        mCodec = codec;
        mMetrics = metrics;
    }

    @Override
    public boolean send(Message message) {
        return send(message, mChannel.voidPromise());
    }

    @Override
    public boolean send(Message message, Runnable onDequeued) {
        ChannelPromise promise = mChannel.newPromise();
        promise.addListener(future -> onDequeued.run());
        return send(message, promise);
    }

    private boolean send(Message message, ChannelPromise promise) {
        if (!mChannel.isActive() || !mChannel.isWritable()) {
            mMetrics.countRejectedSend();
            return false;
        }
        byte[] content = mCodec.encode(message);
        if (content.length > MessageCodec.MAXIMUM_FRAME_BYTES) {
            mMetrics.countRejectedSend();
            LOG.event("message_too_large")
                    .with("type", message.getClass().getSimpleName())
                    .with("bytes", content.length)
                    .with("peer", remoteAddress())
                    .warn();
            return false;
        }
        mMetrics.countSent(content.length);
        mChannel.writeAndFlush(Unpooled.wrappedBuffer(content), promise);
        return true;
    }

    @Override
    public void sendAndClose(Message message) {
        mChannel.writeAndFlush(Unpooled.wrappedBuffer(mCodec.encode(message)))
                .addListener(ChannelFutureListener.CLOSE);
    }

    @Override
    public void close() {
        mChannel.close();
    }

    @Override
    public String remoteAddress() {
        return String.valueOf(mChannel.remoteAddress());
    }
}
