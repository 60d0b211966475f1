package org.hickorycleat.logic.placement;

import org.hickorycleat.logic.batch.RunTimeEstimator;
import org.hickorycleat.logic.placement.PlacementView.PlacedTask;

/** Expected ends of placed tasks. */
final class RunningEnds {
    private final RunTimeEstimator mEstimator;

    RunningEnds(RunTimeEstimator estimator) {
        mEstimator = estimator;
    }

    /** Returns the expected end; a service has none, an overdue task a quarter of its time more. */
    long endMs(PlacedTask task, long nowMs) {
        if (task.specification().service().isPresent()) {
            return Long.MAX_VALUE;
        }
        if (task.phase() == PlacementView.Phase.UNCERTAIN) {
            return Long.MAX_VALUE;
        }
        long remainingMs = mEstimator.expectedMs(task.specification()) - task.progressMs();
        long share = Math.max(1, task.throttlePermille());
        long endMs = task.startedMs() + Math.max(1, remainingMs) * 1_000 / share;
        return endMs > nowMs ? endMs : nowMs + Math.max(1_000, (nowMs - task.startedMs()) / 4);
    }
}
