package org.hickorycleat.model.message;

import java.util.Optional;
import org.hickorycleat.model.identifier.Epoch;
import org.hickorycleat.model.job.WorkerLife;

/**
 * Extends the lease of everything on a worker.
 *
 * @param report number of the report that it answers; the lease counts from its sending
 * @param leaseMs length of the lease in milliseconds; 0 for no extension
 * @param life life whose ends are acknowledged
 * @param acknowledgedEnds number up to which ends are durable
 */
public record LeaseExtension(
        Epoch epoch, long report, long leaseMs, Optional<WorkerLife> life, long acknowledgedEnds)
        implements Message {}
