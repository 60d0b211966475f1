package org.hickorycleat.logic.election;

import java.util.Collection;
import java.util.Comparator;
import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import org.hickorycleat.model.identifier.ProcessId;
import org.hickorycleat.model.message.FleetNode;

/**
 * Decides to which peer an owner that drains offers the ownership of the jobs, and when.
 *
 * <p>Load pattern: a rolling restart of the whole fleet under steady load. Some decision always
 * waits for the store then, so an owner that waited until all of them are durable would neither
 * place tasks nor hand over until its process ends. Waiting only saves work: whatever the next
 * owner does not find in the log, no worker was told.
 *
 * <p>Of equal peers, the one that started last is the least likely to be restarted next.
 */
public final class DrainHandover {
    /** Maximum time between the choice of the successor and the offer, in milliseconds. */
    private static final long MAXIMUM_OFFER_DELAY_MS = 300;

    /** Time after the offer within which the successor has to take over, in milliseconds. */
    private static final long TAKEOVER_TIMEOUT_MS = 1_500;

    private final Set<ProcessId> mTried = new HashSet<>();
    private Optional<FleetNode> mSuccessor = Optional.empty();
    private long mChosenAtMs;
    private boolean mOffered;

    /**
     * Chooses a successor unless one is chosen and may still take over.
     *
     * @param eligible connected peers that can become the owner now
     * @return whether a successor is chosen, so that no further task should be placed
     */
    public boolean chooseSuccessor(Collection<FleetNode> eligible, long nowMs) {
        boolean lost = mSuccessor.isPresent() && !eligible.contains(mSuccessor.get());
        boolean failed = mOffered && nowMs - mChosenAtMs >= TAKEOVER_TIMEOUT_MS;
        if (mSuccessor.isPresent() && !lost && !failed) {
            return true;
        }
        mSuccessor = eligible.stream().max(order());
        mSuccessor.ifPresent(peer -> mTried.add(peer.process()));
        mChosenAtMs = nowMs;
        mOffered = false;
        return mSuccessor.isPresent();
    }

    private Comparator<FleetNode> order() {
        return Comparator.<FleetNode, Boolean>comparing(peer -> !mTried.contains(peer.process()))
                .thenComparingLong(FleetNode::capacityMilli)
                .thenComparingLong(FleetNode::startedAtMs);
    }

    /**
     * Returns the successor if it should get the offer now; at most once for each choice.
     *
     * @param durable whether every decision of the owner is durable
     */
    public Optional<ProcessId> takeDueOffer(boolean durable, long nowMs) {
        boolean due = durable || nowMs - mChosenAtMs >= MAXIMUM_OFFER_DELAY_MS;
        if (mOffered || !due || mSuccessor.isEmpty()) {
            return Optional.empty();
        }
        mOffered = true;
        mChosenAtMs = nowMs;
        return mSuccessor.map(FleetNode::process);
    }
}
