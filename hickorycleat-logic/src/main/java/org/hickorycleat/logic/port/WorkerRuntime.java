package org.hickorycleat.logic.port;

import io.reactivex.rxjava3.core.Single;
import java.util.Optional;
import org.hickorycleat.model.job.RunId;

/**
 * Sends commands to the agent's local worker. A call without a response fails but may still be
 * executed later.
 */
public interface WorkerRuntime {
    /**
     * Starts a run; fails with an {@link HttpCallException} that says so if the command was
     * certainly not sent.
     */
    Single<RunCommandResult> start(StartRunCommand command);

    /** Stops a run. */
    Single<RunCommandResult> stop(RunId run, long fencingToken);

    /** Limits the speed of a run to a share of full speed, in percent. */
    Single<RunCommandResult> throttle(RunId run, int percent, long fencingToken);

    /**
     * Lists running and ended runs.
     *
     * @param leaseDeadlineMs new end of the lease by the worker's clock, in milliseconds
     * @param acknowledgedEnds sequence number up to which the worker may discard ended runs
     * @param waitMs how long the worker may wait for a run to end, in milliseconds
     */
    Single<RunListing> list(
            long fencingToken, Optional<Long> leaseDeadlineMs, long acknowledgedEnds, int waitMs);
}
