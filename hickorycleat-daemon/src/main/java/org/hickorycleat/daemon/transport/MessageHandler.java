package org.hickorycleat.daemon.transport;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.CorruptedFrameException;
import io.netty.handler.codec.TooLongFrameException;
import io.netty.handler.timeout.ReadTimeoutException;
import io.vavr.control.Either;
import org.hickorycleat.daemon.logging.EventLog;
import org.hickorycleat.model.message.Failure;
import org.hickorycleat.model.message.Message;
import org.hickorycleat.model.result.ResultCode;
import org.jspecify.annotations.Nullable;

/** Decodes the frames of one connection and passes the messages to the listener. */
// The closing of a channel is reported through channelInactive, so its future is not needed.
@SuppressWarnings("FutureReturnValueIgnored")
final class MessageHandler extends SimpleChannelInboundHandler<ByteBuf> {
    private static final EventLog LOG = EventLog.of(MessageHandler.class);

    private final MessageCodec mCodec;
    private final TransportMetrics mMetrics;
    private final MessageListener mListener;
    private @Nullable MessageConnection mConnection;

    MessageHandler(MessageCodec codec, TransportMetrics metrics, MessageListener listener) {
        mCodec = codec;
        mMetrics = metrics;
        mListener = listener;
    }

    @Override
    public void channelActive(ChannelHandlerContext context) {
        mListener.onOpen(connection(context));
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
        mListener.onClose(connection(context));
    }

    @Override
    protected void channelRead0(ChannelHandlerContext context, ByteBuf frame) {
        byte[] content = new byte[frame.readableBytes()];
        frame.readBytes(content);
        mMetrics.countReceived(content.length);
        Either<Failure, Message> decoded = mCodec.decode(content);
        if (decoded.isLeft()) {
            rejectAndClose(context, decoded.getLeft());
            return;
        }
        mListener.onMessage(connection(context), decoded.get());
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        if (cause instanceof ReadTimeoutException) {
            rejectAndClose(context, new Failure(ResultCode.DEADLINE_EXCEEDED, "peer sent nothing"));
            return;
        }
        if (cause instanceof TooLongFrameException) {
            rejectAndClose(context, new Failure(ResultCode.FRAME_TOO_LARGE, "frame too large"));
            return;
        }
        if (cause instanceof CorruptedFrameException) {
            rejectAndClose(context, new Failure(ResultCode.MALFORMED_FRAME, "bad frame length"));
            return;
        }
        LOG.event("connection_failed")
                .with("peer", connection(context).remoteAddress())
                .with("cause", cause)
                .info();
        context.close();
    }

    private void rejectAndClose(ChannelHandlerContext context, Failure failure) {
        mMetrics.countError(failure.code());
        LOG.event("protocol_error")
                .with("peer", connection(context).remoteAddress())
                .with("result", failure.code())
                .with("detail", failure.detail())
                .warn();
        connection(context).sendAndClose(failure);
    }

    private MessageConnection connection(ChannelHandlerContext context) {
        MessageConnection connection = mConnection;
        if (connection == null) {
            connection = new ChannelConnection(context.channel(), mCodec, mMetrics);
            mConnection = connection;
        }
        return connection;
    }
}
