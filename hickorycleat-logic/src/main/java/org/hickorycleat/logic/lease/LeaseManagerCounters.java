package org.hickorycleat.logic.lease;

/**
 * Counters of a lease keeper.
 *
 * @param staleEpochs messages of replaced owners
 * @param lateGrants grants and starts whose lease had expired or whose request is not known
 * @param staleAttempts starts of attempts older than the last one seen
 * @param workerErrors calls that the worker did not answer
 */
public record LeaseManagerCounters(
        long staleEpochs, long lateGrants, long staleAttempts, long workerErrors) {}
