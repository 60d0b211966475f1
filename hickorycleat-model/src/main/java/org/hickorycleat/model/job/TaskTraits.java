package org.hickorycleat.model.job;

/**
 * What an agent needs to know of a task to limit interference.
 *
 * @param image what the task runs
 * @param bestEffort whether the task uses only idle processors
 * @param targetLatencyMs bound of the tail latency of a serving task, in milliseconds; 0 if none
 * @param processorsMilli processors that the task asks for, in thousandths
 */
public record TaskTraits(
        String image, boolean bestEffort, int targetLatencyMs, long processorsMilli) {}
