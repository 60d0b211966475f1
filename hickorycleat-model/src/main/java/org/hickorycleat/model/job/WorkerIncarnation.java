package org.hickorycleat.model.job;

import org.hickorycleat.model.identifier.WorkerId;

/**
 * Identifies one incarnation of a worker; it ends with a crash, a restart or a planned shutdown.
 *
 * @param startedAtMs start time of the incarnation, in Unix milliseconds
 */
public record WorkerIncarnation(WorkerId worker, long startedAtMs) {}
