package org.hickorycleat.logic.placement;

import java.util.Collection;
import java.util.Optional;
import org.hickorycleat.model.identifier.ServiceName;
import org.hickorycleat.model.identifier.TaskId;
import org.hickorycleat.model.identifier.TeamName;
import org.hickorycleat.model.identifier.WorkerId;
import org.hickorycleat.model.task.Resources;

/** A view with the indexes that a policy needs, so that a call does not read every task. */
public interface IndexedPlacementView extends PlacementView {
    /** Returns the view itself if it has indexes, otherwise an indexed copy. */
    static IndexedPlacementView of(PlacementView view) {
        if (view instanceof IndexedPlacementView indexed) {
            return indexed;
        }
        return IncrementalPlacementView.copyOf(view);
    }

    /** Returns waiting instances of services and urgent tasks. */
    Collection<PendingTask> pendingFirst();

    /** Returns the other waiting tasks. */
    Collection<PendingTask> pendingBatch();

    /** Finds a waiting task. */
    Optional<PendingTask> pending(TaskId task);

    /** Returns the tasks that hold resources of a worker. */
    Collection<PlacedTask> placedOn(WorkerId worker);

    /** Returns the placed instances of a service. */
    Collection<PlacedTask> placedOf(ServiceName service);

    /** Returns what the placed batch tasks of a team hold. */
    Resources usageOf(TeamName team);
}
