package org.hickorycleat.logic.placement;

import java.util.Collection;
import java.util.Optional;
import org.hickorycleat.model.identifier.ServiceName;
import org.hickorycleat.model.identifier.TaskId;
import org.hickorycleat.model.identifier.TeamName;
import org.hickorycleat.model.identifier.WorkerId;
import org.hickorycleat.model.task.Resources;

/** A placement view with indexes, so that a call of the policy does not read every task. */
public interface IndexedPlacementView extends PlacementView {
    /** Returns the view itself if it has indexes, otherwise an indexed copy. */
    static IndexedPlacementView of(PlacementView view) {
        if (view instanceof IndexedPlacementView indexed) {
            return indexed;
        }
        return IncrementalPlacementView.copyOf(view);
    }

    /** Returns the pending service instances and urgent tasks. */
    Collection<PendingTask> pendingHighPriority();

    /** Returns the pending batch tasks that are not urgent. */
    Collection<PendingTask> pendingBatch();

    /** Returns a pending task, if there is one with this id. */
    Optional<PendingTask> pending(TaskId task);

    /** Returns the tasks that hold resources of a worker. */
    Collection<PlacedTask> placedOn(WorkerId worker);

    /** Returns the placed instances of a service. */
    Collection<PlacedTask> instancesOf(ServiceName service);

    /** Returns the resources that the placed batch tasks of a team hold. */
    Resources usageOf(TeamName team);
}
