package org.hickorycleat.logic.ownership;

/**
 * A step of a fuzz run.
 *
 * @param fault fault or change to apply
 * @param index index of the affected owner, worker or job
 * @param durationMs time until the fault ends
 * @param nextMs time until the next step, which may start before this fault ends
 */
record FaultStep(Fault fault, int index, long durationMs, long nextMs) {
    /** Longer than the limit for granting leases without the log, plus one lease. */
    static final long MAXIMUM_DURATION_MS = 80_000;
}
