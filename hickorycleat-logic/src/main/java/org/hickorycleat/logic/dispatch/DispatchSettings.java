package org.hickorycleat.logic.dispatch;

/**
 * Times of the owner.
 *
 * @param leaseMs lease that each report of a worker extends, in milliseconds
 * @param previousOwnerLeaseMs longest time that a former owner may have extended leases after it
 *     lost the store, in milliseconds
 * @param maximumLeaseMs longest lease that a worker grants, in milliseconds; from the platform
 */
public record DispatchSettings(int leaseMs, int previousOwnerLeaseMs, int maximumLeaseMs) {
    /** Longest lease that is asked for, in milliseconds; longer than most partitions. */
    private static final int LONGEST_LEASE_MS = 6_000;

    /** How long an owner extends leases without an answer of the store, in milliseconds. */
    public static final int STORE_TIMEOUT_MS = 6_000;

    /** Returns the settings for workers that grant leases up to the given length. */
    public static DispatchSettings of(int maximumLeaseMs) {
        return new DispatchSettings(
                Math.min(maximumLeaseMs, LONGEST_LEASE_MS), STORE_TIMEOUT_MS, maximumLeaseMs);
    }

    /** Returns after how long a lease that was just extended has certainly expired. */
    int certainExpiryMs() {
        return certainExpiryMs(leaseMs);
    }

    /** Returns after how long any lease that has just been granted has certainly expired. */
    int longestCertainExpiryMs() {
        return certainExpiryMs(maximumLeaseMs);
    }

    private static int certainExpiryMs(int extendedMs) {
        // A worker's clock may be 2% slow; the rest covers rounding and scheduling.
        return extendedMs + extendedMs * 3 / 100 + 100;
    }
}
