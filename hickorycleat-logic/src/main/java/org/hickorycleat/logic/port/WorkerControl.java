package org.hickorycleat.logic.port;

import io.reactivex.rxjava3.core.Single;
import java.util.List;
import org.hickorycleat.model.identifier.AttemptNumber;
import org.hickorycleat.model.identifier.Epoch;
import org.hickorycleat.model.identifier.ShardNumber;
import org.hickorycleat.model.identifier.TaskId;
import org.hickorycleat.model.result.ResultCode;

/**
 * Controls the worker on the same VM.
 *
 * <p>A call is made when its Single is subscribed to. It fails with {@link
 * WorkerUnavailableException} when no response arrived; the action may then have been executed. All
 * calls but list and usage are rejected with {@code STALE_EPOCH} when the worker has seen a higher
 * epoch of the shard, and raise its epoch otherwise.
 */
public interface WorkerControl {
    /** Returns the worker's incarnation, clock, capacity and the last attempt of each task. */
    Single<WorkerListing> list();

    /**
     * Starts an attempt; for an attempt that the worker already knows, returns its state and starts
     * nothing.
     */
    Single<WorkerResponse> start(WorkerStart start);

    /** Extends leases up to a time by the worker's clock; ignored for another incarnation. */
    Single<ResultCode> renew(WorkerRenewal renewal);

    /**
     * Stops an attempt; for one that has ended, returns its terminal state. An attempt that the
     * worker has not seen is recorded as stopped, so that a start which arrives later is rejected.
     */
    Single<WorkerResponse> stop(ShardNumber shard, Epoch epoch, TaskId task, AttemptNumber attempt);

    /** Saves a checkpoint of a running attempt. */
    Single<WorkerResponse> checkpoint(
            ShardNumber shard, Epoch epoch, TaskId task, AttemptNumber attempt);

    /** Limits the processor time of an attempt; 1000 removes the limit. */
    Single<WorkerResponse> throttle(
            ShardNumber shard, Epoch epoch, TaskId task, AttemptNumber attempt, int permille);

    /** Returns the latest usage measurements, whose age is given in each. */
    Single<List<TaskUsage>> usage();

    /** Raises the epoch of a shard. */
    Single<ResultCode> fence(ShardNumber shard, Epoch epoch);
}
