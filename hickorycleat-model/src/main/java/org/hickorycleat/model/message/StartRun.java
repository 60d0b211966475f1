package org.hickorycleat.model.message;

import java.util.Optional;
import org.hickorycleat.model.identifier.Epoch;
import org.hickorycleat.model.job.RunId;
import org.hickorycleat.model.job.TaskTraits;
import org.hickorycleat.model.job.WorkerIncarnation;

/**
 * Starts a run on the worker beside the agent.
 *
 * @param commandNumber number of the order in the session, from 1
 * @param incarnation the only life of the worker that may run it
 */
public record StartRun(
        Epoch epoch,
        long commandNumber,
        WorkerIncarnation incarnation,
        RunId run,
        String payload,
        Optional<String> checkpoint,
        Optional<String> ticket,
        TaskTraits traits)
        implements Message {}
