package org.hickorycleat.logic.placement;

import org.hickorycleat.logic.batch.RunTimeEstimator;
import org.hickorycleat.logic.placement.PlacementView.PlacedTask;
import org.hickorycleat.model.manifest.Criticality;
import org.hickorycleat.model.task.TaskSpecification;

/** Cost of evicting a running batch task, in milliseconds of run time. */
final class EvictionCost {
    /** Time to stop and start a task again. */
    private static final long RESTART_MS = 5_000;

    private final RunTimeEstimator mEstimator;

    EvictionCost(RunTimeEstimator estimator) {
        mEstimator = estimator;
    }

    /** Tells whether a task may be evicted at all: running batch work that is not urgent. */
    static boolean evictable(PlacedTask task) {
        TaskSpecification specification = task.specification();
        return task.phase() == PlacementView.Phase.RUNNING
                && specification.service().isEmpty()
                && !specification.urgent();
    }

    /** Returns the cost: work lost, deadline risk, evictions before, criticality. */
    double of(PlacedTask task, long nowMs) {
        long lostMs = lostMs(task, nowMs) + RESTART_MS;
        double cost = lostMs + deadlineRiskMs(task, lostMs, nowMs);
        return cost * weight(task.specification().criticality()) * (1 + task.evictions());
    }

    private static int weight(Criticality criticality) {
        return switch (criticality) {
            case CRITICAL -> 8;
            case IMPORTANT -> 4;
            case NORMAL -> 2;
            case SHEDDABLE -> 1;
        };
    }

    /**
     * Work since the checkpoint. The eviction takes a checkpoint first, but that may fail, so a
     * share of the work counts as lost.
     */
    private static long lostMs(PlacedTask task, long nowMs) {
        if (task.specification().checkpointable()) {
            return (nowMs - task.checkpointMs()) / 4;
        }
        return nowMs - task.startedMs();
    }

    private double deadlineRiskMs(PlacedTask task, long lostMs, long nowMs) {
        TaskSpecification specification = task.specification();
        if (specification.deadlineMs() == Long.MAX_VALUE) {
            return 0;
        }
        long doneMs = task.progressMs() + nowMs - task.startedMs();
        long remainingMs = Math.max(1, mEstimator.expectedMs(specification) - doneMs) + lostMs;
        long slackMs = specification.deadlineMs() - nowMs - remainingMs;
        if (slackMs <= -remainingMs) {
            return 0;
        }
        return remainingMs * Math.min(1, remainingMs / (double) Math.max(1, slackMs));
    }
}
