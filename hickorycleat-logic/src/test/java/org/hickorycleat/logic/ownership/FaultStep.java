package org.hickorycleat.logic.ownership;

/**
 * A step of a fuzz run.
 *
 * @param fault what happens
 * @param index owner, worker or job that it happens to
 * @param durationMs time until the fault ends
 * @param nextMs time until the next step, which may be before the end of this one
 */
record FaultStep(Fault fault, int index, long durationMs, long nextMs) {
    /** Longer than the limit without the log and one lease together. */
    static final long LONGEST_MS = 80_000;
}
