package org.hickorycleat.model.job;

/**
 * What a call to the advice service costs.
 *
 * @param decisionMs constant part of its time, in milliseconds
 * @param perWorkerMs part for each worker named, in milliseconds
 * @param validMs how long a ticket is valid, in milliseconds
 */
public record AdviceServiceSettings(int decisionMs, int perWorkerMs, int validMs) {}
