package org.hickorycleat.logic.placement;

import org.hickorycleat.model.identifier.RackId;
import org.hickorycleat.model.identifier.WorkerId;
import org.hickorycleat.model.identifier.ZoneId;
import org.hickorycleat.model.task.Resources;

/**
 * State of a worker as the placement policy sees it.
 *
 * @param worker the worker
 * @param rack its rack
 * @param zone its availability zone
 * @param capacity its total resources
 * @param reserved resources held by reserved, starting, running, stopping and uncertain tasks
 * @param available whether tasks may be started on it: it is reachable and not draining
 */
public record WorkerView(
        WorkerId worker,
        RackId rack,
        ZoneId zone,
        Resources capacity,
        Resources reserved,
        boolean available) {
    /** Returns the resources that are not reserved. */
    public Resources free() {
        return capacity.minus(reserved);
    }
}
