package org.hickorycleat.logic.ownership;

import java.util.List;
import org.hickorycleat.logic.placement.PlacementPolicy;
import org.hickorycleat.logic.placement.PlacementView;
import org.hickorycleat.logic.placement.WorkerView;
import org.hickorycleat.model.identifier.WorkerId;
import org.hickorycleat.model.task.PlacementDecision;

/** Policy that starts every task on the first worker, regardless of its capacity. */
final class OvercommittingPolicy implements PlacementPolicy {
    @Override
    public List<PlacementDecision> decide(PlacementView view, long nowMs) {
        return view.workers().stream()
                .limit(1)
                .map(WorkerView::worker)
                .flatMap(worker -> view.pendingTasks().stream().map(task -> start(task, worker)))
                .toList();
    }

    private static PlacementDecision start(PlacementView.PendingTask task, WorkerId worker) {
        return new PlacementDecision.Start(task.specification().task(), worker);
    }
}
