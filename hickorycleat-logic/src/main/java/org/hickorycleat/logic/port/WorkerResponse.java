package org.hickorycleat.logic.port;

import java.util.Optional;
import org.hickorycleat.model.result.ResultCode;

/**
 * Response of a worker to a command about one attempt.
 *
 * @param code OK, or why the command had no effect
 * @param task state of the attempt as the worker has recorded it; empty if it has no such attempt
 */
public record WorkerResponse(ResultCode code, Optional<WorkerTask> task) {}
