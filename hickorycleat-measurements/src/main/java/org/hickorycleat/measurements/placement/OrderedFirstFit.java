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
 * Baseline that starts tasks in one order on the first worker with enough free resources and never
 * evicts. It skips tasks that exceed the capacity of every worker, so that they do not block the
 * queue permanently.
 */
final class OrderedFirstFit implements PlacementPolicy {
    private final PriorityRule mRule;
    private final BlockedQueueRule mBlockedQueueRule;

    OrderedFirstFit(PriorityRule rule, BlockedQueueRule blockedQueueRule) {
        mRule = rule;
        mBlockedQueueRule = blockedQueueRule;
    }

    /** Whether tasks behind one that fits on no worker wait or may start before it. */
    enum BlockedQueueRule {
        WAIT,
        PASS
    }

    private record PrioritizedTask(PendingTask task, double key) {}

    @Override
    public List<PlacementDecision> decide(PlacementView view, long nowMs) {
        Map<WorkerId, Resources> allocated = new HashMap<>();
        List<PlacementDecision> decisions = new ArrayList<>();
        for (PendingTask task : ordered(view, nowMs)) {
            Resources size = task.specification().resources();
            if (view.workers().stream().noneMatch(worker -> size.fitsInto(worker.capacity()))) {
                continue;
            }
            WorkerId worker = firstFit(view, allocated, size);
            if (worker != null) {
                allocated.merge(worker, size, Resources::plus);
                decisions.add(new PlacementDecision.Start(task.specification().task(), worker));
            } else if (mBlockedQueueRule == BlockedQueueRule.WAIT) {
                return decisions;
            }
        }
        return decisions;
    }

    private List<PendingTask> ordered(PlacementView view, long nowMs) {
        List<PrioritizedTask> prioritized = new ArrayList<>();
        for (PendingTask task : view.pendingTasks()) {
            boolean hasPrecedence =
                    task.specification().service().isPresent() || task.specification().urgent();
            BatchJob job =
                    new BatchJob(
                            task.specification().task(),
                            task.submittedMs(),
                            task.specification().deadlineMs(),
                            task.specification().estimatedMs() - task.progressMs(),
                            task.specification().resources().processorsMilli());
            prioritized.add(
                    new PrioritizedTask(task, hasPrecedence ? -1e300 : mRule.key(job, nowMs)));
        }
        prioritized.sort(Comparator.comparingDouble(PrioritizedTask::key));
        return prioritized.stream().map(PrioritizedTask::task).toList();
    }

    private static @Nullable WorkerId firstFit(
            PlacementView view, Map<WorkerId, Resources> allocated, Resources size) {
        for (WorkerView worker : view.workers()) {
            Resources used =
                    worker.reserved()
                            .plus(allocated.getOrDefault(worker.worker(), Resources.NONE))
                            .plus(size);
            if (worker.available() && used.fitsInto(worker.capacity())) {
                return worker.worker();
            }
        }
        return null;
    }
}
