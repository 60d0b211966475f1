package org.hickorycleat.daemon.transport;

import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFutureListener;
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
        mChannel.writeAndFlush(Unpooled.wrappedBuffer(content), mChannel.voidPromise());
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
