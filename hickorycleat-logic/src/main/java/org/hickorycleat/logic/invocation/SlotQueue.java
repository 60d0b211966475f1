package org.hickorycleat.logic.invocation;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.TreeSet;
import org.hickorycleat.model.message.Invoke;
import org.hickorycleat.model.message.LoadSignal;

/** Slots of one target and the bounded queue of waiting executions; one lock guards both. */
final class SlotQueue {
    /** An execution that holds a slot now. */
    record Started(Execution execution, Invoke invoke) {}

    /** Effects of an update; executions in {@code rejected} and {@code expired} did not run. */
    record QueueUpdate(List<Started> started, List<Execution> rejected, List<Execution> expired) {}

    private static final Comparator<Execution> ORDER =
            Comparator.comparing(Execution::criticality)
                    .thenComparingLong(Execution::firstDeadlineMs)
                    .thenComparingLong(Execution::sequenceNumber);

    /** Weight of the newest latency in the exponential moving average. */
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

    synchronized QueueUpdate configure(int slots, int connections, long nowMs) {
        mSlots = slots;
        mConnections = connections;
        return update(nowMs);
    }

    synchronized QueueUpdate submit(Execution execution, long nowMs) {
        mQueue.add(execution);
        return update(nowMs);
    }

    /** Releases the slot of an execution that has ended. */
    synchronized QueueUpdate release(long latencyMicros, long nowMs) {
        mRunning--;
        mLatencyMicros += (latencyMicros - mLatencyMicros) * LATENCY_WEIGHT;
        return update(nowMs);
    }

    synchronized void remove(Execution execution) {
        mQueue.remove(execution);
    }

    synchronized LoadSignal load() {
        return new LoadSignal(mRunning, mQueue.size(), Math.round(mLatencyMicros));
    }

    private QueueUpdate update(long nowMs) {
        List<Started> started = new ArrayList<>();
        List<Execution> expired = new ArrayList<>();
        while (mRunning < mSlots && !mQueue.isEmpty()) {
            startOrExpire(mQueue.pollFirst(), nowMs, started, expired);
        }
        if (exceedsConnections()) {
            removeExpired(nowMs, expired);
        }
        List<Execution> rejected = new ArrayList<>();
        while (exceedsConnections()) {
            rejected.add(mQueue.pollLast());
        }
        return new QueueUpdate(started, rejected, expired);
    }

    private void startOrExpire(
            Execution execution, long nowMs, List<Started> started, List<Execution> expired) {
        if (execution.isExpired(nowMs)) {
            expired.add(execution);
            return;
        }
        Optional<Invoke> invoke = execution.start(nowMs);
        if (invoke.isPresent()) {
            mRunning++;
            started.add(new Started(execution, invoke.get()));
        }
    }

    private boolean exceedsConnections() {
        return !mQueue.isEmpty() && mRunning + mQueue.size() > mConnections;
    }

    private void removeExpired(long nowMs, List<Execution> expired) {
        List<Execution> found = mQueue.stream().filter(each -> each.isExpired(nowMs)).toList();
        found.forEach(mQueue::remove);
        expired.addAll(found);
    }
}
