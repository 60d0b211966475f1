package org.hickorycleat.model.job;

/**
 * Properties of a task that an agent needs to limit interference.
 *
 * @param image program that the task runs
 * @param bestEffort whether the task uses only idle processors
 * @param targetLatencyMs upper bound on the tail latency of a latency-critical task, in
 *     milliseconds; 0 for other tasks
 * @param processorsMilli processors that the task requests, in thousandths
 */
public record TaskTraits(
        String image, boolean bestEffort, int targetLatencyMs, long processorsMilli) {}
