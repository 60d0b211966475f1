package org.hickorycleat.logic.placement;

import org.hickorycleat.model.identifier.RackId;
import org.hickorycleat.model.identifier.WorkerId;
import org.hickorycleat.model.identifier.ZoneId;
import org.hickorycleat.model.task.Resources;

/**
 * A worker as the placement policy sees it.
 *
 * @param worker the worker
 * @param rack its rack
 * @param zone its availability zone
 * @param capacity all its resources
 * @param reserved resources held by reserved, starting, running, stopping and uncertain tasks
 * @param available whether it may be given new tasks: reachable and not draining
 */
public record WorkerView(
        WorkerId worker,
        RackId rack,
        ZoneId zone,
        Resources capacity,
        Resources reserved,
        boolean available) {
    /** Returns what is not reserved. */
    public Resources free() {
        return capacity.minus(reserved);
    }
}
