package org.hickorycleat.logic.interference;

import org.hickorycleat.model.identifier.JobName;

/**
 * A batch job that was colocated with a service at the time of a measurement.
 *
 * @param job name of the job
 * @param share share of its processor time that it was allowed to use, from 0 to 1
 */
public record Neighbour(JobName job, double share) {}
