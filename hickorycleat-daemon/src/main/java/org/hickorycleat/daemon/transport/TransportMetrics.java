package org.hickorycleat.daemon.transport;

import io.micrometer.core.instrument.FunctionCounter;
import io.micrometer.core.instrument.MeterRegistry;
import io.micrometer.core.instrument.binder.MeterBinder;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.LongAdder;
import org.hickorycleat.model.result.ResultCode;

/** Counts messages, bytes, rejected sends and protocol errors. */
public final class TransportMetrics implements MeterBinder {
    private static final String PREFIX = "hickorycleat.transport.";

    /** Length prefix of a frame, in bytes. */
    private static final int LENGTH_PREFIX_BYTES = 4;

    private final LongAdder mSentMessages = new LongAdder();
    private final LongAdder mSentBytes = new LongAdder();
    private final LongAdder mReceivedMessages = new LongAdder();
    private final LongAdder mReceivedBytes = new LongAdder();
    private final LongAdder mRejectedSends = new LongAdder();
    private final Map<ResultCode, LongAdder> mErrors = new ConcurrentHashMap<>();
    private final List<MeterRegistry> mRegistries = new CopyOnWriteArrayList<>();

    /** Creates counters that are in no registry yet. */
    public TransportMetrics() {}

    /** Creates counters and registers them. */
    public TransportMetrics(MeterRegistry registry) {
        bindTo(registry);
    }

    @Override
    public synchronized void bindTo(MeterRegistry registry) {
        mRegistries.add(registry);
        register(registry, "sent.messages", mSentMessages);
        register(registry, "sent.bytes", mSentBytes);
        register(registry, "received.messages", mReceivedMessages);
        register(registry, "received.bytes", mReceivedBytes);
        register(registry, "refused.sends", mRejectedSends);
        mErrors.forEach(
                (code, count) -> register(registry, "errors", count, "result", code.name()));
    }

    private static void register(
            MeterRegistry registry, String name, LongAdder count, String... tags) {
        FunctionCounter.builder(PREFIX + name, count, LongAdder::sum).tags(tags).register(registry);
    }

    void countSent(int contentBytes) {
        mSentMessages.increment();
        mSentBytes.add(contentBytes + LENGTH_PREFIX_BYTES);
    }

    void countReceived(int contentBytes) {
        mReceivedMessages.increment();
        mReceivedBytes.add(contentBytes + LENGTH_PREFIX_BYTES);
    }

    void countRejectedSend() {
        mRejectedSends.increment();
    }

    synchronized void countError(ResultCode code) {
        LongAdder count = mErrors.get(code);
        if (count == null) {
            LongAdder created = new LongAdder();
            mErrors.put(code, created);
            mRegistries.forEach(
                    registry -> register(registry, "errors", created, "result", code.name()));
            count = created;
        }
        count.increment();
    }
}
