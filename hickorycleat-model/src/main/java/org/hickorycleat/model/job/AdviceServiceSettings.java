package org.hickorycleat.model.job;

/**
 * Response times of the advice service and validity of its tickets.
 *
 * @param decisionMs constant part of the response time, in milliseconds
 * @param perWorkerMs response time added by each worker in the request, in milliseconds
 * @param validMs how long a ticket is valid, in milliseconds
 */
public record AdviceServiceSettings(int decisionMs, int perWorkerMs, int validMs) {}
