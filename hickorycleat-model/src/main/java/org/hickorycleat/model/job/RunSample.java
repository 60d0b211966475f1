package org.hickorycleat.model.job;

/**
 * State of a run as its worker reports it.
 *
 * @param checkpoint newest checkpoint; empty if none
 * @param progressPercent progress of the run; for a long-running task, 100 while it is working
 * @param measurement for a latency-critical task its tail latency, in milliseconds; for other tasks
 *     the processors in use, in thousandths
 */
public record RunSample(RunId run, String checkpoint, int progressPercent, long measurement) {}
