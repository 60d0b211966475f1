package org.hickorycleat.model.message;

import java.util.Optional;
import org.hickorycleat.model.identifier.Epoch;
import org.hickorycleat.model.job.WorkerIncarnation;

/**
 * Extends the lease of all runs on a worker.
 *
 * @param reportNumber number of the report that this message responds to; the lease starts when
 *     that report was sent
 * @param leaseMs duration of the lease, in milliseconds; 0 for no extension
 * @param incarnation worker incarnation whose ended runs are acknowledged
 * @param acknowledgedEndNumber number of the last ended run whose end is durable at the owner; all
 *     earlier ones are too
 */
public record LeaseExtension(
        Epoch epoch,
        long reportNumber,
        long leaseMs,
        Optional<WorkerIncarnation> incarnation,
        long acknowledgedEndNumber)
        implements Message {}
