package org.hickorycleat.model.message;

import java.util.Optional;
import org.hickorycleat.model.identifier.Epoch;
import org.hickorycleat.model.job.WorkerIncarnation;

/**
 * Extends the lease of everything on a worker.
 *
 * @param reportNumber number of the report that it answers; the lease counts from its sending
 * @param leaseMs length of the lease in milliseconds; 0 for no extension
 * @param incarnation life whose ends are acknowledged
 * @param acknowledgedEndNumber number up to which ends are durable
 */
public record LeaseExtension(
        Epoch epoch,
        long reportNumber,
        long leaseMs,
        Optional<WorkerIncarnation> incarnation,
        long acknowledgedEndNumber)
        implements Message {}
