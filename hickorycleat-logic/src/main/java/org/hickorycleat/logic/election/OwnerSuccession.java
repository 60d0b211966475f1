package org.hickorycleat.logic.election;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.LongSupplier;
import org.hickorycleat.model.identifier.Epoch;

/**
 * Knows for how long the owners before this entry may go on extending leases.
 *
 * <p>An owner needs the confirmations of this entry if it has sent heartbeats to it, and a recent
 * response of the store if it was replaced after a short time (see {@link LeaseAuthority}). Any
 * other owner may extend leases until the store has been silent to it for {@link
 * LeaseAuthority#STORE_TIMEOUT_MS}, which begins with the next claim at the latest.
 */
public final class OwnerSuccession {
    /** Time since the last heartbeat of an owner for which it needs confirmations, in ms. */
    static final long HEARD_TIMEOUT_MS = 10_000;

    /** Longest time for which a read of the log is under way, in milliseconds. */
    private static final long READ_TIME_MS = 2_000;

    /** Number of claims that are remembered. */
    private static final int REMEMBERED_CLAIMS = 8;

    private final LongSupplier mSteadyClockMs;
    private final LongSupplier mWallClockMs;
    private final List<Claim> mClaims = new ArrayList<>();
    private final Map<Epoch, HeardOwner> mHeard = new HashMap<>();

    private record Claim(Epoch epoch, long notBeforeMs, long knownAtMs) {}

    private final class HeardOwner {
        private final ContactAge mAge = new ContactAge(mSteadyClockMs, mWallClockMs);
        private long mNumber;
    }

    /** Creates the succession of an entry that knows no claim yet. */
    public OwnerSuccession(LongSupplier steadyClockMs, LongSupplier wallClockMs) {
        mSteadyClockMs = steadyClockMs;
        mWallClockMs = wallClockMs;
    }

    /**
     * Handles a claim that was read from the log; ignores it unless it is the highest so far.
     *
     * @param logReadAtMs when the log was last read to its end without the claim, by the steady
     *     clock in milliseconds
     */
    public synchronized void onClaimRead(Epoch epoch, long logReadAtMs) {
        if (newest().filter(claim -> epoch.compareTo(claim.epoch()) <= 0).isPresent()) {
            return;
        }
        mClaims.add(new Claim(epoch, logReadAtMs - READ_TIME_MS, mSteadyClockMs.getAsLong()));
        if (mClaims.size() > REMEMBERED_CLAIMS) {
            mHeard.remove(mClaims.remove(0).epoch());
        }
    }

    private Optional<Claim> newest() {
        return mClaims.isEmpty() ? Optional.empty() : Optional.of(mClaims.get(mClaims.size() - 1));
    }

    /** Handles a heartbeat that an owner sent while it schedules. */
    public synchronized void onOwnerHeard(Epoch epoch, long number) {
        HeardOwner owner = mHeard.computeIfAbsent(epoch, key -> new HeardOwner());
        owner.mNumber = number;
        owner.mAge.onResponse(owner.mAge.now());
    }

    /**
     * Returns the number of the heartbeat to confirm to the owner of an epoch; 0 if there is none.
     */
    public synchronized long numberToConfirm(Epoch epoch) {
        boolean replaced = newest().filter(claim -> claim.epoch().compareTo(epoch) > 0).isPresent();
        return replaced || !mHeard.containsKey(epoch) ? 0 : mHeard.get(epoch).mNumber;
    }

    /**
     * Returns the longest time for which an owner before the newest claim may extend leases from
     * now on, in milliseconds; valid when this entry has just become the owner with that claim.
     */
    public synchronized int previousOwnerLeaseMs() {
        if (mClaims.isEmpty()) {
            return LeaseAuthority.STORE_TIMEOUT_MS;
        }
        long longestMs =
                Math.max(LeaseAuthority.CONFIRMED_OWNER_LEASE_MS, remainingLeaseMs(mClaims.get(0)));
        for (int i = 0; i + 1 < mClaims.size(); i++) {
            Claim claim = mClaims.get(i);
            Claim next = mClaims.get(i + 1);
            if (!isHeard(claim) && !isReplacedAtOnce(claim, next)) {
                longestMs = Math.max(longestMs, remainingLeaseMs(next));
            }
        }
        return (int) longestMs;
    }

    private boolean isHeard(Claim claim) {
        HeardOwner owner = mHeard.get(claim.epoch());
        return owner != null && owner.mAge.ageMs() < HEARD_TIMEOUT_MS;
    }

    private static boolean isReplacedAtOnce(Claim claim, Claim next) {
        return next.knownAtMs() - claim.notBeforeMs() < LeaseAuthority.CONFIRMABLE_TENURE_MS;
    }

    // An owner before a claim has no contact with the store since that claim.
    private long remainingLeaseMs(Claim next) {
        return LeaseAuthority.STORE_TIMEOUT_MS - (mSteadyClockMs.getAsLong() - next.knownAtMs());
    }
}
