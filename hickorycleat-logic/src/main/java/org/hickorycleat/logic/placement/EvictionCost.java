package org.hickorycleat.logic.placement;

import org.hickorycleat.logic.batch.RunTimeEstimator;
import org.hickorycleat.logic.placement.PlacementView.PlacedTask;
import org.hickorycleat.model.manifest.Criticality;
import org.hickorycleat.model.task.TaskSpecification;

/** Computes the cost of evicting a running batch task, in milliseconds of run time. */
final class EvictionCost {
    /** Time to stop a task and start it again. */
    private static final long RESTART_MS = 5_000;

    private final RunTimeEstimator mEstimator;

    EvictionCost(RunTimeEstimator estimator) {
        mEstimator = estimator;
    }

    /** Returns whether a task may be evicted: only running batch tasks that are not urgent. */
    static boolean isEvictable(PlacedTask task) {
        TaskSpecification specification = task.specification();
        return task.phase() == PlacementView.Phase.RUNNING
                && specification.service().isEmpty()
                && !specification.urgent();
    }

    /**
     * Returns the cost: lost work and deadline risk, weighted by criticality and past evictions.
     */
    double costOf(PlacedTask task, long nowMs) {
        long lostMs = lostWorkMs(task, nowMs) + RESTART_MS;
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
     * Returns the run time that an eviction loses. An eviction takes a checkpoint first, which may
     * fail, so a quarter of the work since the last checkpoint counts as lost. A task without
     * checkpoints loses all work since its start.
     */
    private static long lostWorkMs(PlacedTask task, long nowMs) {
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
