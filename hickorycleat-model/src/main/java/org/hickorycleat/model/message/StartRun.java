package org.hickorycleat.model.message;

import java.util.Optional;
import org.hickorycleat.model.identifier.Epoch;
import org.hickorycleat.model.job.RunId;
import org.hickorycleat.model.job.TaskTraits;
import org.hickorycleat.model.job.WorkerIncarnation;

/**
 * Commands an agent to start a run on its local worker.
 *
 * @param session the only session with the owner in which the agent may execute the command
 * @param commandNumber number of the command in the session, from 1
 * @param incarnation the only worker incarnation that may execute the run
 */
public record StartRun(
        Epoch epoch,
        long session,
        long commandNumber,
        WorkerIncarnation incarnation,
        RunId run,
        String payload,
        Optional<String> checkpoint,
        Optional<String> ticket,
        TaskTraits traits)
        implements Message {}
