package org.hickorycleat.measurements.placement;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.hickorycleat.logic.batch.BatchJob;
import org.hickorycleat.logic.batch.PriorityRule;
import org.hickorycleat.logic.placement.PlacementPolicy;
import org.hickorycleat.logic.placement.PlacementView;
import org.hickorycleat.logic.placement.PlacementView.PendingTask;
import org.hickorycleat.logic.placement.WorkerView;
import org.hickorycleat.model.identifier.WorkerId;
import org.hickorycleat.model.task.PlacementDecision;
import org.hickorycleat.model.task.Resources;
import org.jspecify.annotations.Nullable;

/**
 * Baseline: one order, first worker with room, no eviction. Tasks that no worker could hold are
 * passed over, so that they do not block the queue for good.
 */
final class OrderedFirstFit implements PlacementPolicy {
    private final PriorityRule mRule;
    private final WhenBlocked mWhenBlocked;

    OrderedFirstFit(PriorityRule rule, WhenBlocked whenBlocked) {
        mRule = rule;
        mWhenBlocked = whenBlocked;
    }

    /** What happens to the tasks behind one without room. */
    enum WhenBlocked {
        WAIT,
        PASS
    }

    private record Keyed(PendingTask task, double key) {}

    @Override
    public List<PlacementDecision> decide(PlacementView view, long nowMs) {
        Map<WorkerId, Resources> taken = new HashMap<>();
        List<PlacementDecision> decisions = new ArrayList<>();
        for (PendingTask task : ordered(view, nowMs)) {
            Resources size = task.specification().resources();
            if (view.workers().stream().noneMatch(worker -> size.fitsInto(worker.capacity()))) {
                continue;
            }
            WorkerId worker = firstFit(view, taken, size);
            if (worker != null) {
                taken.merge(worker, size, Resources::plus);
                decisions.add(new PlacementDecision.Start(task.specification().task(), worker));
            } else if (mWhenBlocked == WhenBlocked.WAIT) {
                return decisions;
            }
        }
        return decisions;
    }

    private List<PendingTask> ordered(PlacementView view, long nowMs) {
        List<Keyed> keyed = new ArrayList<>();
        for (PendingTask task : view.pendingTasks()) {
            boolean first =
                    task.specification().service().isPresent() || task.specification().urgent();
            BatchJob job =
                    new BatchJob(
                            task.specification().task(),
                            task.submittedMs(),
                            task.specification().deadlineMs(),
                            task.specification().estimatedMs() - task.progressMs(),
                            task.specification().resources().processorsMilli());
            keyed.add(new Keyed(task, first ? -1e300 : mRule.key(job, nowMs)));
        }
        keyed.sort(Comparator.comparingDouble(Keyed::key));
        return keyed.stream().map(Keyed::task).toList();
    }

    private static @Nullable WorkerId firstFit(
            PlacementView view, Map<WorkerId, Resources> taken, Resources size) {
        for (WorkerView worker : view.workers()) {
            Resources used =
                    worker.reserved()
                            .plus(taken.getOrDefault(worker.worker(), Resources.NONE))
                            .plus(size);
            if (worker.available() && used.fitsInto(worker.capacity())) {
                return worker.worker();
            }
        }
        return null;
    }
}
