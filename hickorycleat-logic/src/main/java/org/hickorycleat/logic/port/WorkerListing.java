package org.hickorycleat.logic.port;

import java.util.List;
import org.hickorycleat.model.identifier.Incarnation;
import org.hickorycleat.model.identifier.RackId;
import org.hickorycleat.model.identifier.WorkerId;
import org.hickorycleat.model.task.Resources;

/**
 * State of a worker.
 *
 * @param worker the worker
 * @param incarnation number that the worker drew at its start; it knows no attempts of earlier
 *     incarnations
 * @param clockMs its monotonic clock, in milliseconds, when it made the listing
 * @param rack rack of the worker
 * @param capacity total resources of the worker
 * @param tasks last attempt of each task
 */
public record WorkerListing(
        WorkerId worker,
        Incarnation incarnation,
        long clockMs,
        RackId rack,
        Resources capacity,
        List<WorkerTask> tasks) {
    /** Copies the collections. */
    public WorkerListing {
        tasks = List.copyOf(tasks);
    }
}
