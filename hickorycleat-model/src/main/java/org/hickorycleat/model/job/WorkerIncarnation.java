package org.hickorycleat.model.job;

import org.hickorycleat.model.identifier.WorkerId;

/**
 * One life of a worker, which ends with a crash, a restart or a planned end.
 *
 * @param startedAtMs when it began, in Unix milliseconds
 */
public record WorkerIncarnation(WorkerId worker, long startedAtMs) {}
