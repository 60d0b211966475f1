package org.hickorycleat.logic.ownership;

import org.hickorycleat.logic.lease.LeaseSettings;

/**
 * Limits and times of a shard owner; times are in milliseconds.
 *
 * @param lease lease settings
 * @param claimTimeoutMs time without records of the owner after which its shard is claimed
 * @param renewalIntervalMs interval between renewals of ownership
 * @param batchIntervalMs minimum interval between batches
 * @param appendTimeoutMs time after which an append that was not read back is retried
 * @param maximumBatchDecisions maximum number of decisions in one batch
 * @param snapshotIntervalDecisions number of decisions after which a snapshot is appended
 * @param retentionMs retention of the log; a snapshot is appended at half of it
 * @param checkpointIntervalMs interval between checkpoints of a running task
 * @param endedRetentionMs time after which the tombstone of an ended task that has left the
 *     manifest is removed
 * @param serviceReplacementMs time that the worker of a service instance may be unreachable before
 *     the instance is replaced
 */
public record OwnerSettings(
        LeaseSettings lease,
        long claimTimeoutMs,
        long renewalIntervalMs,
        long batchIntervalMs,
        long appendTimeoutMs,
        int maximumBatchDecisions,
        long snapshotIntervalDecisions,
        long retentionMs,
        long checkpointIntervalMs,
        long endedRetentionMs,
        long serviceReplacementMs) {
    /**
     * Default settings; 500 decisions of about 200 bytes stay well below 1 MiB. Tombstones have a
     * limited retention, because snapshots would otherwise grow without bound.
     */
    public static final OwnerSettings DEFAULT =
            new OwnerSettings(
                    LeaseSettings.DEFAULT,
                    3_000,
                    1_000,
                    50,
                    2_000,
                    500,
                    5_000,
                    24 * 3_600_000L,
                    60_000,
                    3 * 24 * 3_600_000L,
                    5_000);
}
