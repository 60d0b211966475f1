package org.hickorycleat.logic.dispatch;

import org.hickorycleat.logic.election.LeaseAuthority;

/**
 * Lease durations and run time factor that the owner uses.
 *
 * @param leaseMs length to which each worker report extends the lease, in milliseconds
 * @param previousOwnerLeaseMs longest time for which a previous owner may still extend leases when
 *     its successor starts, in milliseconds
 * @param maximumLeaseMs longest lease that a worker grants, in milliseconds; as the platform
 *     defines it
 * @param farRunFactor factor from the run time of a task in the rack of its data or group to that
 *     elsewhere; 1 if the rack does not matter
 */
public record DispatchSettings(
        int leaseMs, int previousOwnerLeaseMs, int maximumLeaseMs, double farRunFactor) {
    /** Longest lease that the owner requests, in milliseconds; outlasts most network partitions. */
    private static final int LEASE_LIMIT_MS = 6_000;

    /** Time within which the agent receives a start and its worker executes it, in milliseconds. */
    private static final int START_DELAY_MS = 1_000;

    /**
     * Returns the settings for workers that grant leases up to the given length, and for an owner
     * that knows nothing of the owner before it.
     */
    public static DispatchSettings of(int maximumLeaseMs) {
        return of(maximumLeaseMs, LeaseAuthority.STORE_TIMEOUT_MS);
    }

    /** Returns the settings for workers that grant leases up to the given length. */
    public static DispatchSettings of(int maximumLeaseMs, int previousOwnerLeaseMs) {
        return new DispatchSettings(
                Math.min(maximumLeaseMs, LEASE_LIMIT_MS), previousOwnerLeaseMs, maximumLeaseMs, 1);
    }

    /** Returns the settings with another factor for runs away from their data or group. */
    public DispatchSettings withFarRunFactor(double factor) {
        return new DispatchSettings(leaseMs, previousOwnerLeaseMs, maximumLeaseMs, factor);
    }

    /**
     * Returns the time after which a lease that was just extended has certainly expired, in
     * milliseconds.
     */
    int certainExpiryMs() {
        return certainExpiryMs(leaseMs);
    }

    /**
     * Returns the time after which any lease granted just now has certainly expired, in
     * milliseconds.
     */
    int maximumCertainExpiryMs() {
        return certainExpiryMs(maximumLeaseMs);
    }

    /**
     * Returns the time after which a run has certainly ended that was sent to a worker and has not
     * been listed since, in milliseconds. The worker may have restarted before it executed the
     * start, and then holds the run for as long as it grants leases.
     */
    int unlistedStartExpiryMs() {
        return START_DELAY_MS + maximumCertainExpiryMs();
    }

    private static int certainExpiryMs(int extendedMs) {
        // A worker's clock may run 2% slow; the remaining margin covers rounding and scheduling
        // delays.
        return extendedMs + extendedMs * 3 / 100 + 100;
    }
}
