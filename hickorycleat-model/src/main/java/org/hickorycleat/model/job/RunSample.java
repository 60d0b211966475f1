package org.hickorycleat.model.job;

/**
 * What a worker tells of a run.
 *
 * @param checkpoint newest checkpoint; empty if none
 * @param progressPercent progress of a task that ends; for a task that lasts, 100 when it is at
 *     work
 * @param measurement for a serving task its tail latency in milliseconds, for others the processors
 *     in use in thousandths
 */
public record RunSample(RunId run, String checkpoint, int progressPercent, long measurement) {}
