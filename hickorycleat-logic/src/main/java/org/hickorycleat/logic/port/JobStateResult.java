package org.hickorycleat.logic.port;

import java.util.Optional;
import org.hickorycleat.model.job.JobState;

/**
 * Result of a query for the state of a job.
 *
 * @param known whether the entry could determine the state
 * @param state state of the job; empty when no such job exists
 */
public record JobStateResult(boolean known, Optional<JobState> state) {}
