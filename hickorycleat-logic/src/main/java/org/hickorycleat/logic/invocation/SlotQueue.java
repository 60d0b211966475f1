package org.hickorycleat.logic.invocation;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.TreeSet;
import org.hickorycleat.model.message.Invoke;
import org.hickorycleat.model.message.LoadSignal;

/** Slots of one target and the bounded queue before them, under one lock. */
final class SlotQueue {
    /** An execution that now holds a slot. */
    record Started(Execution execution, Invoke invoke) {}

    /** What a change of the queue led to; none of {@code full} and {@code expired} ran. */
    record Change(List<Started> started, List<Execution> full, List<Execution> expired) {}

    private static final Comparator<Execution> ORDER =
            Comparator.comparing(Execution::criticality)
                    .thenComparingLong(Execution::firstDeadlineMs)
                    .thenComparingLong(Execution::number);

    /** Weight of the newest latency in the moving average. */
    private static final double LATENCY_WEIGHT = 0.1;

    private final TreeSet<Execution> mQueue = new TreeSet<>(ORDER);
    private int mSlots;
    private int mConnections;
    private int mRunning;
    private double mLatencyMicros;

    SlotQueue(int slots, int connections) {
        mSlots = slots;
        mConnections = connections;
    }

    synchronized Change configure(int slots, int connections, long nowMs) {
        mSlots = slots;
        mConnections = connections;
        return settle(nowMs);
    }

    synchronized Change submit(Execution execution, long nowMs) {
        mQueue.add(execution);
        return settle(nowMs);
    }

    /** Frees the slot of an execution that has ended. */
    synchronized Change release(long latencyMicros, long nowMs) {
        mRunning--;
        mLatencyMicros += (latencyMicros - mLatencyMicros) * LATENCY_WEIGHT;
        return settle(nowMs);
    }

    synchronized void remove(Execution execution) {
        mQueue.remove(execution);
    }

    synchronized LoadSignal load() {
        return new LoadSignal(mRunning, mQueue.size(), Math.round(mLatencyMicros));
    }

    private Change settle(long nowMs) {
        List<Started> started = new ArrayList<>();
        List<Execution> expired = new ArrayList<>();
        while (mRunning < mSlots && !mQueue.isEmpty()) {
            startOrExpire(mQueue.pollFirst(), nowMs, started, expired);
        }
        if (overfull()) {
            removeExpired(nowMs, expired);
        }
        List<Execution> full = new ArrayList<>();
        while (overfull()) {
            full.add(mQueue.pollLast());
        }
        return new Change(started, full, expired);
    }

    private void startOrExpire(
            Execution execution, long nowMs, List<Started> started, List<Execution> expired) {
        if (execution.expired(nowMs)) {
            expired.add(execution);
            return;
        }
        Optional<Invoke> invoke = execution.start(nowMs);
        if (invoke.isPresent()) {
            mRunning++;
            started.add(new Started(execution, invoke.get()));
        }
    }

    private boolean overfull() {
        return !mQueue.isEmpty() && mRunning + mQueue.size() > mConnections;
    }

    private void removeExpired(long nowMs, List<Execution> expired) {
        List<Execution> found = mQueue.stream().filter(each -> each.expired(nowMs)).toList();
        found.forEach(mQueue::remove);
        expired.addAll(found);
    }
}
