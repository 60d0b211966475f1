package org.hickorycleat.model.message;

import org.hickorycleat.model.identifier.Epoch;
import org.hickorycleat.model.job.RunId;

/**
 * Stops a run on the worker beside the agent.
 *
 * @param commandNumber number of the order in the session, from 1
 */
public record StopRun(Epoch epoch, long commandNumber, RunId run) implements Message {}
