package org.hickorycleat.logic.port;

import io.reactivex.rxjava3.core.Single;
import java.util.Optional;
import org.hickorycleat.model.job.RunId;

/** Orders to the worker beside an agent. Calls without an answer fail and may take effect later. */
public interface WorkerRuntime {
    /** Starts a run. */
    Single<RunCommandResult> start(StartRunCommand order);

    /** Stops a run. */
    Single<RunCommandResult> stop(RunId run, long fencingToken);

    /** Sets the share at which a run works, in percent. */
    Single<RunCommandResult> throttle(RunId run, int percent, long fencingToken);

    /**
     * Lists what runs and what ended.
     *
     * @param leaseDeadlineMs new end of the lease on the clock of the worker
     * @param acknowledgedEnds number up to which ends are forgotten
     * @param waitMs how long the worker may wait for an end, in milliseconds
     */
    Single<RunListing> list(
            long fencingToken, Optional<Long> leaseDeadlineMs, long acknowledgedEnds, int waitMs);
}
