package org.hickorycleat.daemon.fleet;

import io.reactivex.rxjava3.core.Scheduler;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import org.hickorycleat.model.identifier.ProcessId;
import org.hickorycleat.model.message.FleetNode;

/**
 * Selects the peer that relays a request to the store: in turn, one of the peers with much capacity
 * that have not failed recently.
 */
final class RelaySelector implements RelayingRecordStore.Relays {
    /** Time after a failure during which other peers are preferred, in milliseconds. */
    private static final long AVOIDANCE_MS = 3_000;

    private final Supplier<List<FleetNode>> mReachingPeers;
    private final Scheduler mScheduler;
    private final Map<ProcessId, Long> mAvoidedUntilMs = new HashMap<>();
    private int mNext;

    /**
     * Creates a selector.
     *
     * @param self the asking process; processes start with different peers
     * @param reachingPeers returns the connected peers that reach the store
     */
    RelaySelector(ProcessId self, Supplier<List<FleetNode>> reachingPeers, Scheduler scheduler) {
        mNext = self.value().hashCode();
        mReachingPeers = reachingPeers;
        mScheduler = scheduler;
    }

    @Override
    public Optional<ProcessId> select() {
        List<FleetNode> peers = mReachingPeers.get();
        synchronized (this) {
            mAvoidedUntilMs.values().removeIf(untilMs -> untilMs <= nowMs());
            List<FleetNode> trusted =
                    peers.stream()
                            .filter(peer -> !mAvoidedUntilMs.containsKey(peer.process()))
                            .toList();
            List<ProcessId> candidates = withMuchCapacity(trusted.isEmpty() ? peers : trusted);
            return candidates.isEmpty()
                    ? Optional.empty()
                    : Optional.of(candidates.get(Math.floorMod(mNext++, candidates.size())));
        }
    }

    private static List<ProcessId> withMuchCapacity(List<FleetNode> peers) {
        long largest = peers.stream().mapToLong(FleetNode::capacityMilli).max().orElse(0);
        return peers.stream()
                .filter(peer -> 2 * peer.capacityMilli() >= largest)
                .map(FleetNode::process)
                .sorted(Comparator.naturalOrder())
                .toList();
    }

    @Override
    public synchronized void onFailed(ProcessId relay) {
        mAvoidedUntilMs.put(relay, nowMs() + AVOIDANCE_MS);
    }

    private long nowMs() {
        return mScheduler.now(TimeUnit.MILLISECONDS);
    }
}
