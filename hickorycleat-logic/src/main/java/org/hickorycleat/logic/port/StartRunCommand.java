package org.hickorycleat.logic.port;

import java.util.Optional;
import org.hickorycleat.model.job.RunId;
import org.hickorycleat.model.job.WorkerIncarnation;

/**
 * Order to start a run.
 *
 * @param incarnation the only life of the worker that may carry it out
 * @param leaseDeadlineMs end of the lease on the clock of the worker
 */
public record StartRunCommand(
        WorkerIncarnation incarnation,
        RunId run,
        String payload,
        long leaseDeadlineMs,
        long fencingToken,
        Optional<String> checkpoint,
        Optional<String> ticket) {}
