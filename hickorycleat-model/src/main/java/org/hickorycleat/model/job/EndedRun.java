package org.hickorycleat.model.job;

/**
 * The end of a run in the list of a worker.
 *
 * @param number position in the list of this life of the worker, from 1
 * @param checkpoint newest checkpoint; empty if none
 */
public record EndedRun(long number, RunId run, EndCause cause, String checkpoint) {}
