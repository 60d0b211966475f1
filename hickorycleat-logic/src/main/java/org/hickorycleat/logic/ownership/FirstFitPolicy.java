package org.hickorycleat.logic.ownership;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.hickorycleat.logic.placement.PlacementPolicy;
import org.hickorycleat.logic.placement.PlacementView;
import org.hickorycleat.logic.placement.WorkerView;
import org.hickorycleat.model.identifier.WorkerId;
import org.hickorycleat.model.result.ResultCode;
import org.hickorycleat.model.task.PlacementDecision;
import org.hickorycleat.model.task.Resources;

/**
 * Places tasks in the order of their arrival, each on the first worker with enough free resources.
 */
public final class FirstFitPolicy implements PlacementPolicy {
    /** Number of failures after which a task is rejected. */
    private static final int MAXIMUM_FAILURES = 3;

    @Override
    public List<PlacementDecision> decide(PlacementView view, long nowMs) {
        Map<WorkerId, Resources> free = new HashMap<>();
        view.workers().stream()
                .filter(WorkerView::available)
                .forEach(worker -> free.put(worker.worker(), worker.free()));
        List<PlacementDecision> decisions = new ArrayList<>();
        for (PlacementView.PendingTask task : view.pendingTasks()) {
            decide(view, free, task, nowMs).ifPresent(decisions::add);
        }
        return decisions;
    }

    private static Optional<PlacementDecision> decide(
            PlacementView view,
            Map<WorkerId, Resources> free,
            PlacementView.PendingTask task,
            long nowMs) {
        if (task.failures() >= MAXIMUM_FAILURES) {
            return Optional.of(
                    new PlacementDecision.Reject(
                            task.specification().task(),
                            ResultCode.TASK_FAILED,
                            "failed " + task.failures() + " times"));
        }
        if (task.specification().releaseMs() > nowMs) {
            return Optional.empty();
        }
        Resources needed = task.specification().resources();
        for (WorkerView worker : view.workers()) {
            Resources remaining = free.getOrDefault(worker.worker(), Resources.NONE);
            if (worker.available() && needed.fitsInto(remaining)) {
                free.put(worker.worker(), remaining.minus(needed));
                return Optional.of(
                        new PlacementDecision.Start(task.specification().task(), worker.worker()));
            }
        }
        return Optional.empty();
    }
}
