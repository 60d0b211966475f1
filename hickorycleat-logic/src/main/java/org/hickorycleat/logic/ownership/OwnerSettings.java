package org.hickorycleat.logic.ownership;

import org.hickorycleat.logic.lease.LeaseSettings;

/**
 * Times and limits of an owner, in milliseconds.
 *
 * @param lease times of leases
 * @param claimAfterMs silence of an owner after which its shard is claimed
 * @param renewalIntervalMs interval of renewals
 * @param batchIntervalMs least interval between batches
 * @param appendTimeoutMs time after which an append that was not read back is repeated
 * @param maximumBatch most decisions in one batch
 * @param snapshotDecisions decisions after which a snapshot is appended
 * @param retentionMs retention of the log; a snapshot is appended at half of it
 * @param checkpointIntervalMs interval of checkpoints of running tasks
 * @param endedRetentionMs time after which a task that has ended and left the manifest is forgotten
 * @param serviceReplacementMs time that the worker of a service instance may be unreachable before
 *     the instance is replaced
 */
public record OwnerSettings(
        LeaseSettings lease,
        long claimAfterMs,
        long renewalIntervalMs,
        long batchIntervalMs,
        long appendTimeoutMs,
        int maximumBatch,
        long snapshotDecisions,
        long retentionMs,
        long checkpointIntervalMs,
        long endedRetentionMs,
        long serviceReplacementMs) {
    /**
     * Settings of the design page; 500 decisions of about 200 bytes stay well below 1 MiB. Without
     * an end of the retention of ended tasks, snapshots would grow without bound.
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
