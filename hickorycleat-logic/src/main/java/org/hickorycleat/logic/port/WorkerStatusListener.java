package org.hickorycleat.logic.port;

import org.hickorycleat.model.identifier.WorkerId;
import org.hickorycleat.model.job.WorkerDescription;

/** What the worker beside an agent tells of itself. */
public interface WorkerStatusListener {
    /** The worker described itself. */
    void onWorkerDescribed(WorkerDescription description);

    /** The worker has ended as planned. */
    void onWorkerLeft(WorkerId worker);
}
