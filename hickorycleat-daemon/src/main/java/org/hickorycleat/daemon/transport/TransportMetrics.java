package org.hickorycleat.daemon.transport;

import io.micrometer.core.instrument.Counter;
import io.micrometer.core.instrument.MeterRegistry;
import org.hickorycleat.model.result.ResultCode;

/** Counts messages, bytes, rejected sends and protocol errors. */
public final class TransportMetrics {
    /** Length prefix of a frame, in bytes. */
    private static final int LENGTH_PREFIX_BYTES = 4;

    private final MeterRegistry mRegistry;
    private final Counter mSentMessages;
    private final Counter mSentBytes;
    private final Counter mReceivedMessages;
    private final Counter mReceivedBytes;
    private final Counter mRejectedSends;

    /** Registers the counters. */
    public TransportMetrics(MeterRegistry registry) {
        mRegistry = registry;
        mSentMessages = registry.counter("hickorycleat.transport.sent.messages");
        mSentBytes = registry.counter("hickorycleat.transport.sent.bytes");
        mReceivedMessages = registry.counter("hickorycleat.transport.received.messages");
        mReceivedBytes = registry.counter("hickorycleat.transport.received.bytes");
        mRejectedSends = registry.counter("hickorycleat.transport.refused.sends");
    }

    void countSent(int contentBytes) {
        mSentMessages.increment();
        mSentBytes.increment(contentBytes + LENGTH_PREFIX_BYTES);
    }

    void countReceived(int contentBytes) {
        mReceivedMessages.increment();
        mReceivedBytes.increment(contentBytes + LENGTH_PREFIX_BYTES);
    }

    void countRejectedSend() {
        mRejectedSends.increment();
    }

    void countError(ResultCode code) {
        mRegistry.counter("hickorycleat.transport.errors", "result", code.name()).increment();
    }
}
