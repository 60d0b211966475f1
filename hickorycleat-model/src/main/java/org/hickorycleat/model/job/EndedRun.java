package org.hickorycleat.model.job;

/**
 * An ended run, as listed by its worker.
 *
 * @param number position in the list of this worker incarnation, from 1
 * @param checkpoint newest checkpoint; empty if none
 */
public record EndedRun(long number, RunId run, EndCause cause, String checkpoint) {}
