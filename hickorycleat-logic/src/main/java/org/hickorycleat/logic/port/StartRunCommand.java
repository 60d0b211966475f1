package org.hickorycleat.logic.port;

import java.util.Optional;
import org.hickorycleat.model.job.RunId;
import org.hickorycleat.model.job.WorkerIncarnation;

/**
 * Command to start a run.
 *
 * @param incarnation the only incarnation of the worker that may execute the command
 * @param leaseDeadlineMs end of the lease by the worker's clock, in milliseconds
 */
public record StartRunCommand(
        WorkerIncarnation incarnation,
        RunId run,
        String payload,
        long leaseDeadlineMs,
        long fencingToken,
        Optional<String> checkpoint,
        Optional<String> ticket) {}
