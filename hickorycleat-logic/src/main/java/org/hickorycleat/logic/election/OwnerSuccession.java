package org.hickorycleat.logic.election;

import java.util.Optional;
import java.util.function.LongSupplier;
import org.hickorycleat.model.identifier.Epoch;

/**
 * Knows for how long the owners before this entry may go on extending leases.
 *
 * <p>An owner needs the confirmations of this entry if it has sent heartbeats to it (see {@link
 * LeaseAuthority}). Any other owner may extend leases until the store has been silent to it for
 * {@link LeaseAuthority#STORE_TIMEOUT_MS}.
 */
public final class OwnerSuccession {
    /** Time since the last heartbeat of an owner for which it needs confirmations, in ms. */
    static final long HEARD_TIMEOUT_MS = 10_000;

    private final ContactAge mHeard;
    private final LongSupplier mSteadyClockMs;
    private Optional<Epoch> mHeardEpoch = Optional.empty();
    private long mHeardNumber;
    private Optional<Claim> mNewest = Optional.empty();
    private Optional<Claim> mPrevious = Optional.empty();

    private record Claim(Epoch epoch, long knownAtMs) {}

    /** Creates the succession of an entry that knows no claim yet. */
    public OwnerSuccession(LongSupplier steadyClockMs, LongSupplier wallClockMs) {
        mSteadyClockMs = steadyClockMs;
        mHeard = new ContactAge(steadyClockMs, wallClockMs);
    }

    /** Handles a claim that was read from the log; ignores it unless it is the highest so far. */
    public synchronized void onClaimRead(Epoch epoch) {
        if (mNewest.isPresent() && epoch.compareTo(mNewest.get().epoch()) <= 0) {
            return;
        }
        mPrevious = mNewest;
        mNewest = Optional.of(new Claim(epoch, mSteadyClockMs.getAsLong()));
    }

    /** Handles a heartbeat that an owner sent while it schedules. */
    public synchronized void onOwnerHeard(Epoch epoch, long number) {
        mHeardEpoch = Optional.of(epoch);
        mHeardNumber = number;
        mHeard.onResponse(mHeard.now());
    }

    /**
     * Returns the number of the heartbeat to confirm to the owner of an epoch; 0 if there is none.
     */
    public synchronized long numberToConfirm(Epoch epoch) {
        boolean replaced = mNewest.isPresent() && mNewest.get().epoch().compareTo(epoch) > 0;
        return mHeardEpoch.equals(Optional.of(epoch)) && !replaced ? mHeardNumber : 0;
    }

    /**
     * Returns the longest time for which an owner before the newest claim may extend leases from
     * now on, in milliseconds; valid when this entry has just become the owner with that claim.
     */
    public synchronized int previousOwnerLeaseMs() {
        if (mPrevious.isEmpty()) {
            return LeaseAuthority.STORE_TIMEOUT_MS;
        }
        Claim previous = mPrevious.get();
        boolean heard =
                mHeardEpoch.equals(Optional.of(previous.epoch()))
                        && mHeard.ageMs() < HEARD_TIMEOUT_MS;
        long previousOwnerMs =
                heard ? LeaseAuthority.CONFIRMED_OWNER_LEASE_MS : LeaseAuthority.STORE_TIMEOUT_MS;
        // An owner before the previous one has no contact with the store since that one's claim.
        long earlierOwnersMs =
                LeaseAuthority.STORE_TIMEOUT_MS
                        - (mSteadyClockMs.getAsLong() - previous.knownAtMs());
        return (int) Math.max(previousOwnerMs, earlierOwnersMs);
    }
}
