package org.hickorycleat.logic.port;

import org.hickorycleat.model.identifier.WorkerId;
import org.hickorycleat.model.job.WorkerDescription;

/** Receives the announcements of the agent's local worker. */
public interface WorkerStatusListener {
    /** Handles a description of the worker. */
    void onWorkerDescribed(WorkerDescription description);

    /** Handles the planned shutdown of the worker. */
    void onWorkerLeft(WorkerId worker);
}
