package org.hickorycleat.logic.port;

import org.hickorycleat.model.identifier.WorkerId;
import org.hickorycleat.model.job.WorkerDescription;

/** What the worker beside an agent tells of itself. */
public interface WorkerAnnouncements {
    /** The worker described itself. */
    void onDescription(WorkerDescription description);

    /** The worker has ended as planned. */
    void onLeft(WorkerId worker);
}
