package org.hickorycleat.logic.election;

import java.util.ArrayDeque;
import java.util.Collection;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;
import java.util.function.LongSupplier;
import org.hickorycleat.model.identifier.ProcessId;

/**
 * Decides whether an owner may extend leases while the store does not respond to it.
 *
 * <p>Another entry may have claimed the ownership since the last response of the store. An owner
 * therefore needs a recent response, or recent confirmations of all entries that heard it: an entry
 * confirms the heartbeats of the owner that it follows, and stops when it becomes the owner. So an
 * entry that heard the owner knows that the owner soon extends no more leases. The confirmations
 * count only after some time as owner, so that an entry knows the same of owners that it did not
 * hear because they were replaced at once.
 */
public final class LeaseAuthority {
    /**
     * Time after the last request that the store has processed for which leases may be extended
     * without confirmations, in milliseconds; well above {@link #STORE_CONTACT_INTERVAL_MS}.
     */
    private static final long STORE_CONTACT_TIMEOUT_MS = 1_000;

    /** Time without contact after which an owner reads from the store, in milliseconds. */
    public static final long STORE_CONTACT_INTERVAL_MS = 400;

    /**
     * Time as owner, up to the last contact with the store, from which confirmations count, in
     * milliseconds.
     */
    static final long CONFIRMABLE_TENURE_MS = 5_000;

    /** Maximum age of a heartbeat that a confirmation names, in milliseconds. */
    private static final long CONFIRMATION_TIMEOUT_MS = 1_000;

    /** Margin for delays between a decision and the message that follows from it, in ms. */
    private static final int MARGIN_MS = 100;

    /**
     * Time for which an owner may extend leases after an entry that heard it has become the owner,
     * in milliseconds.
     */
    public static final int CONFIRMED_OWNER_LEASE_MS =
            (int) Math.max(STORE_CONTACT_TIMEOUT_MS, CONFIRMATION_TIMEOUT_MS) + MARGIN_MS;

    /**
     * Time without any response of the store after which an owner extends no leases in any case, in
     * milliseconds.
     */
    public static final int STORE_TIMEOUT_MS = 6_000;

    /**
     * Time without a heartbeat to an entry after which its confirmation is not needed, in
     * milliseconds; well above {@link OwnerSuccession#HEARD_TIMEOUT_MS}.
     */
    private static final long FORGET_TIMEOUT_MS = 30_000;

    /** Number of heartbeats that can be confirmed; covers the timeout several times over. */
    private static final int REMEMBERED_HEARTBEATS = 64;

    private final LongSupplier mSteadyClockMs;
    private final LongSupplier mWallClockMs;
    private final long mOwnerSinceMs;
    private final Deque<SentHeartbeat> mSent = new ArrayDeque<>();
    private final Map<ProcessId, Follower> mFollowers = new HashMap<>();
    private long mNumber;

    private record SentHeartbeat(long number, ContactAge.Instant sentAt) {}

    /** Creates the authority of an owner whose claim was just stored. */
    public LeaseAuthority(LongSupplier steadyClockMs, LongSupplier wallClockMs) {
        mSteadyClockMs = steadyClockMs;
        mWallClockMs = wallClockMs;
        mOwnerSinceMs = steadyClockMs.getAsLong();
    }

    private final class Follower {
        private final ContactAge mSentTo = new ContactAge(mSteadyClockMs, mWallClockMs);
        private final ContactAge mConfirmed = new ContactAge(mSteadyClockMs, mWallClockMs);
    }

    /**
     * Records a heartbeat before it is sent to the given entries.
     *
     * @return number of the heartbeat, which the entries confirm
     */
    public synchronized long onHeartbeat(Collection<ProcessId> entries) {
        mNumber++;
        for (ProcessId entry : entries) {
            Follower follower = mFollowers.computeIfAbsent(entry, id -> new Follower());
            follower.mSentTo.onResponse(follower.mSentTo.now());
        }
        mFollowers.values().removeIf(follower -> follower.mSentTo.ageMs() > FORGET_TIMEOUT_MS);
        ContactAge.Instant now =
                new ContactAge.Instant(mSteadyClockMs.getAsLong(), mWallClockMs.getAsLong());
        mSent.addLast(new SentHeartbeat(mNumber, now));
        if (mSent.size() > REMEMBERED_HEARTBEATS) {
            mSent.removeFirst();
        }
        return mNumber;
    }

    /** Handles that an entry followed this owner when it received the numbered heartbeat. */
    public synchronized void onConfirmed(ProcessId entry, long number) {
        Follower follower = mFollowers.get(entry);
        if (follower == null) {
            return;
        }
        mSent.stream()
                .filter(heartbeat -> heartbeat.number() == number)
                .forEach(heartbeat -> follower.mConfirmed.onResponse(heartbeat.sentAt()));
    }

    /**
     * Returns whether leases may be extended now.
     *
     * @param storeContactAgeMs time since the last request that the store has processed was sent,
     *     in milliseconds
     */
    public synchronized boolean mayExtendLeases(long storeContactAgeMs) {
        if (storeContactAgeMs < STORE_CONTACT_TIMEOUT_MS) {
            return true;
        }
        long tenureMs = mSteadyClockMs.getAsLong() - storeContactAgeMs - mOwnerSinceMs;
        return tenureMs >= CONFIRMABLE_TENURE_MS
                && storeContactAgeMs < STORE_TIMEOUT_MS
                && mFollowers.values().stream()
                        .allMatch(
                                follower -> follower.mConfirmed.ageMs() < CONFIRMATION_TIMEOUT_MS);
    }
}
