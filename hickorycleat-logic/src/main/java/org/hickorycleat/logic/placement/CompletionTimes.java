package org.hickorycleat.logic.placement;

import org.hickorycleat.logic.batch.RunTimeEstimator;
import org.hickorycleat.logic.placement.PlacementView.PlacedTask;

/** Estimates when placed tasks end. */
final class CompletionTimes {
    private final RunTimeEstimator mEstimator;

    CompletionTimes(RunTimeEstimator estimator) {
        mEstimator = estimator;
    }

    /**
     * Returns the expected end of a task; {@code Long.MAX_VALUE} for a service or an uncertain
     * task. A task that has run past its estimate is expected to run for another quarter of its
     * time, and for at least 1 s.
     */
    long expectedEndMs(PlacedTask task, long nowMs) {
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
