package org.hickorycleat.daemon.transport;

import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelPromise;
import org.hickorycleat.model.message.Message;

/** A TCP connection that carries messages in both directions. */
// A write that fails closes the channel, which is reported to the listener, so its future is not
// needed.
@SuppressWarnings("FutureReturnValueIgnored")
public final class MessageConnection {
    private final Channel mChannel;
    private final MessageCodec mCodec;
    private final TransportMetrics mMetrics;

    MessageConnection(Channel channel, MessageCodec codec, TransportMetrics metrics) {
        mChannel = channel;
        mCodec = codec;
        mMetrics = metrics;
    }

    /**
     * Queues a message for sending.
     *
     * @return false if the connection is closed, its queue is full or the message exceeds the
     *     maximum frame size; the message is then never sent
     */
    public boolean send(Message message) {
        return send(message, mChannel.voidPromise());
    }

    /**
     * Queues a message for sending.
     *
     * @param onDequeued runs once the message has left the queue or the connection is closed; never
     *     runs if this method returns false
     * @return false under the same conditions as {@link #send(Message)}
     */
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
            return false;
        }
        mMetrics.countSent(content.length);
        mChannel.writeAndFlush(Unpooled.wrappedBuffer(content), promise);
        return true;
    }

    /** Sends a last message, then closes the connection. */
    public void sendAndClose(Message message) {
        mChannel.writeAndFlush(Unpooled.wrappedBuffer(mCodec.encode(message)))
                .addListener(ChannelFutureListener.CLOSE);
    }

    /** Closes the connection. */
    public void close() {
        mChannel.close();
    }

    /** Returns the address of the peer. */
    public String remoteAddress() {
        return String.valueOf(mChannel.remoteAddress());
    }
}
