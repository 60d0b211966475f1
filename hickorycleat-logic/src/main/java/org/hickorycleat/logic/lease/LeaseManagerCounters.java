package org.hickorycleat.logic.lease;

/**
 * Counters of a lease manager.
 *
 * @param staleEpochs messages of previous owners, rejected for their epoch
 * @param lateGrants grants and starts whose lease had expired or whose request is unknown
 * @param staleAttempts starts of attempts older than the latest known one
 * @param workerErrors calls to the worker that failed or timed out
 */
public record LeaseManagerCounters(
        long staleEpochs, long lateGrants, long staleAttempts, long workerErrors) {}
