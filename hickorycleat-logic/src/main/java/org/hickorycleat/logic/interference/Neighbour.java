package org.hickorycleat.logic.interference;

import org.hickorycleat.model.identifier.JobName;

/**
 * Batch work that shared a worker with a service at some time.
 *
 * @param job name of the job
 * @param share part of its processor time that it was allowed to use, from 0 to 1
 */
public record Neighbour(JobName job, double share) {}
