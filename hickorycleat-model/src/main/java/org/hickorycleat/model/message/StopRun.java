package org.hickorycleat.model.message;

import org.hickorycleat.model.identifier.Epoch;
import org.hickorycleat.model.job.RunId;

/**
 * Commands an agent to stop a run on its local worker.
 *
 * @param session the only session with the owner in which the agent may execute the command
 * @param commandNumber number of the command in the session, from 1
 */
public record StopRun(Epoch epoch, long session, long commandNumber, RunId run)
        implements Message {}
