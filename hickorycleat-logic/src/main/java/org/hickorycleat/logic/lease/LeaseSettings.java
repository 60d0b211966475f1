package org.hickorycleat.logic.lease;

/**
 * Durations of leases, in milliseconds.
 *
 * @param leaseMs length of a lease
 * @param requestIntervalMs interval between lease requests
 * @param driftMarginMs margin that the owner adds to a lease for clocks that run at different rates
 * @param grantWithoutLogLimitMs how long an owner that cannot read the log continues to grant
 *     leases
 */
public record LeaseSettings(
        long leaseMs, long requestIntervalMs, long driftMarginMs, long grantWithoutLogLimitMs) {
    /** Lease of 10 s requested every 3 s; 500 ms allows clock rates to differ by 5%. */
    public static final LeaseSettings DEFAULT = new LeaseSettings(10_000, 3_000, 500, 90 * 60_000L);

    /** Returns how long after a claim the leases granted by previous owners may still be valid. */
    public long previousLeaseValidityMs() {
        return grantWithoutLogLimitMs + grantWithoutLogLimitMs / 1_000 + leaseMs + driftMarginMs;
    }
}
