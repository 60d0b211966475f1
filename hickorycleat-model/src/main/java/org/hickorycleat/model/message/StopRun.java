package org.hickorycleat.model.message;

import org.hickorycleat.model.identifier.Epoch;
import org.hickorycleat.model.job.RunId;

/**
 * Commands an agent to stop a run on its local worker.
 *
 * @param commandNumber number of the command in the session, from 1
 */
public record StopRun(Epoch epoch, long commandNumber, RunId run) implements Message {}
