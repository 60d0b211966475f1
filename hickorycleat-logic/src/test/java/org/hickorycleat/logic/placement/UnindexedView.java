package org.hickorycleat.logic.placement;

import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.hickorycleat.model.identifier.TeamName;
import org.hickorycleat.model.identifier.WorkerId;
import org.hickorycleat.model.task.Resources;

/** A view without indexes that combines given workers with the tasks of another view. */
record UnindexedView(List<WorkerView> workers, PlacementView tasks) implements PlacementView {
    @Override
    public Optional<WorkerView> worker(WorkerId worker) {
        return workers.stream().filter(view -> view.worker().equals(worker)).findFirst();
    }

    @Override
    public Collection<PendingTask> pendingTasks() {
        return tasks.pendingTasks();
    }

    @Override
    public Collection<PlacedTask> placedTasks() {
        return tasks.placedTasks();
    }

    @Override
    public Map<TeamName, Resources> quotas() {
        return tasks.quotas();
    }
}
