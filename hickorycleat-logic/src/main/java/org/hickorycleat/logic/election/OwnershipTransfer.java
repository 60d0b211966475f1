package org.hickorycleat.logic.election;

import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.hickorycleat.model.identifier.ProcessId;
import org.hickorycleat.model.message.FleetNode;

/**
 * Decides when the owner should transfer the ownership of the jobs to a peer with clearly more
 * capacity, and to which one.
 *
 * <p>At most one attempt is in progress. An attempt has failed if the peer does not take over in
 * time, or if this entry has to become the owner again; the next one then waits, longer after each
 * failure.
 */
public final class OwnershipTransfer {
    /** Minimum capacity of the successor, as a multiple of the owner's capacity. */
    private static final long MINIMUM_CAPACITY_RATIO = 2;

    /**
     * Time for which this entry has to be the owner, and a peer to be eligible, before a transfer,
     * in milliseconds.
     */
    private static final long STABILITY_MS = 3_000;

    /**
     * Time after the offer within which the peer has to take over, in milliseconds; exceeds the
     * time for which it considers the offer.
     */
    private static final long ATTEMPT_TIMEOUT_MS = 1_500;

    /**
     * Maximum time between the start of an attempt and the offer, in milliseconds; under load there
     * may always be a decision that is not durable yet.
     */
    private static final long MAXIMUM_OFFER_DELAY_MS = 300;

    /** Initial and maximum delay between a failed attempt and the next one, in milliseconds. */
    private static final long INITIAL_RETRY_DELAY_MS = 5_000;

    private static final long MAXIMUM_RETRY_DELAY_MS = 60_000;

    private final long mCapacityMilli;
    private final Map<FleetNode, Long> mEligibleSinceMs = new HashMap<>();
    private Optional<Attempt> mAttempt = Optional.empty();
    private Optional<Attempt> mEndedAttempt = Optional.empty();
    private Optional<ProcessId> mLastFailed = Optional.empty();
    private long mOwnerSinceMs;
    private long mRetryDelayMs;
    private long mNextAttemptAtMs = Long.MIN_VALUE;

    private record Attempt(ProcessId successor, long startedAtMs, boolean offered) {}

    /**
     * Creates the decision of an entry.
     *
     * @param capacityMilli processor capacity of this entry, in thousandths of a processor
     */
    public OwnershipTransfer(long capacityMilli) {
        mCapacityMilli = capacityMilli;
    }

    /** Handles the start of an ownership of this entry. */
    public synchronized void onOwnershipStarted(long nowMs) {
        mOwnerSinceMs = nowMs;
        mEligibleSinceMs.clear();
        mAttempt.or(() -> mEndedAttempt).ifPresent(attempt -> fail(attempt, nowMs));
    }

    /**
     * Handles the end of an ownership of this entry, or the start of a drain; the attempt in
     * progress counts as failed only if this entry becomes the owner again.
     */
    public synchronized void onOwnershipEnded() {
        mEndedAttempt = mAttempt;
        mAttempt = Optional.empty();
    }

    /**
     * Starts an attempt if it is time for one; called regularly while this entry is the owner.
     *
     * @param eligible connected peers that can become the owner now
     * @return the peer to which the ownership should be transferred now, if any
     */
    public synchronized Optional<ProcessId> startIfDue(Collection<FleetNode> eligible, long nowMs) {
        mEligibleSinceMs.keySet().retainAll(eligible);
        eligible.forEach(peer -> mEligibleSinceMs.putIfAbsent(peer, nowMs));
        boolean due =
                mAttempt.isEmpty()
                        && nowMs >= mNextAttemptAtMs
                        && nowMs - mOwnerSinceMs >= STABILITY_MS;
        if (!due) {
            return Optional.empty();
        }
        Optional<ProcessId> successor =
                mEligibleSinceMs.entrySet().stream()
                        .filter(peer -> nowMs - peer.getValue() >= STABILITY_MS)
                        .map(Map.Entry::getKey)
                        .filter(this::hasClearlyMoreCapacity)
                        .max(successorOrder())
                        .map(FleetNode::process);
        mAttempt = successor.map(peer -> new Attempt(peer, nowMs, false));
        return successor;
    }

    /**
     * Returns whether the successor of the attempt in progress should get the offer now.
     *
     * <p>Waiting for durability only saves work: whatever the next owner does not find in the log,
     * no worker was told, and an end that is not in the log is listed again.
     *
     * @param durable whether every decision of the owner is durable
     */
    public synchronized boolean isOfferDue(boolean durable, long nowMs) {
        return mAttempt.filter(attempt -> !attempt.offered())
                .filter(
                        attempt ->
                                durable || nowMs - attempt.startedAtMs() >= MAXIMUM_OFFER_DELAY_MS)
                .isPresent();
    }

    /** Handles that the offer was sent, which starts the time to take over. */
    public synchronized void onOffered(long nowMs) {
        mAttempt = mAttempt.map(attempt -> new Attempt(attempt.successor(), nowMs, true));
    }

    private boolean hasClearlyMoreCapacity(FleetNode peer) {
        return peer.capacityMilli() >= MINIMUM_CAPACITY_RATIO * mCapacityMilli;
    }

    // Prefers any other peer to the one that failed last.
    private Comparator<FleetNode> successorOrder() {
        return Comparator.<FleetNode, Boolean>comparing(
                        peer -> !mLastFailed.equals(Optional.of(peer.process())))
                .thenComparingLong(FleetNode::capacityMilli);
    }

    /** Returns whether the peer of the latest attempt may still take over in time. */
    public synchronized boolean isInProgress() {
        return mAttempt.isPresent();
    }

    /**
     * Ends the attempt in progress if the peer has not taken over in time; returns whether it did.
     */
    public synchronized boolean abandonIfTimedOut(long nowMs) {
        boolean timedOut =
                mAttempt.isPresent() && nowMs - mAttempt.get().startedAtMs() >= ATTEMPT_TIMEOUT_MS;
        if (timedOut) {
            fail(mAttempt.get(), nowMs);
        }
        return timedOut;
    }

    private void fail(Attempt attempt, long nowMs) {
        boolean recent = nowMs - attempt.startedAtMs() < MAXIMUM_RETRY_DELAY_MS;
        mRetryDelayMs =
                recent
                        ? Math.min(
                                MAXIMUM_RETRY_DELAY_MS,
                                Math.max(INITIAL_RETRY_DELAY_MS, 2 * mRetryDelayMs))
                        : INITIAL_RETRY_DELAY_MS;
        mNextAttemptAtMs = nowMs + mRetryDelayMs;
        mLastFailed = Optional.of(attempt.successor());
        mAttempt = Optional.empty();
        mEndedAttempt = Optional.empty();
    }
}
