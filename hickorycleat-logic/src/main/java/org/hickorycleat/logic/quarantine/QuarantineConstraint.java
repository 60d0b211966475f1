package org.hickorycleat.logic.quarantine;

import org.hickorycleat.logic.placement.IndexedPlacementView;
import org.hickorycleat.logic.placement.PlacementConstraint;
import org.hickorycleat.logic.placement.WorkerView;
import org.hickorycleat.model.identifier.WorkerId;
import org.hickorycleat.model.task.TaskSpecification;

/** Keeps tasks off quarantined workers, except for one short probe task at a time. */
public final class QuarantineConstraint implements PlacementConstraint {
    /** Longest declared run time of a probe task, so that little work is lost if it fails. */
    private static final long MAXIMUM_PROBE_RUN_MS = 600_000;

    private static final double AVOIDANCE_PENALTY = 4;

    private final WorkerQuarantine mQuarantine;
    private boolean mAnyQuarantined;
    private boolean mQuarantineEnforced;
    private long mNowMs;

    /** Creates the constraint. */
    public QuarantineConstraint(WorkerQuarantine quarantine) {
        mQuarantine = quarantine;
    }

    /** Prepares a call: sets the time and clears probe tasks that are no longer on their worker. */
    public void prepare(IndexedPlacementView view, long nowMs) {
        mNowMs = nowMs;
        int quarantined = 0;
        for (WorkerId worker : mQuarantine.quarantinedWorkers()) {
            quarantined++;
            if (!isProbePlaced(view, worker)) {
                mQuarantine.clearProbe(worker);
            }
        }
        mAnyQuarantined = quarantined > 0;
        // If most workers fail, the cause is shared and a quarantine would stop all tasks.
        mQuarantineEnforced = quarantined * 2 <= view.workers().size();
    }

    /** Returns whether the probe task of a worker, if it has one, is placed on it. */
    private boolean isProbePlaced(IndexedPlacementView view, WorkerId worker) {
        return mQuarantine
                .probeTask(worker)
                .map(
                        probe ->
                                view.placedOn(worker).stream()
                                        .anyMatch(
                                                placed ->
                                                        placed.specification()
                                                                .task()
                                                                .equals(probe)))
                .orElse(true);
    }

    @Override
    public boolean appliesTo(TaskSpecification task) {
        return mAnyQuarantined || !mQuarantine.failedWorkers(task.task()).isEmpty();
    }

    @Override
    public double penalty(TaskSpecification task, WorkerView worker, IndexedPlacementView view) {
        if (mQuarantine.hasFailedOn(task.task(), worker.worker())) {
            return AVOIDANCE_PENALTY;
        }
        if (!mAnyQuarantined || !mQuarantine.isQuarantined(worker.worker())) {
            return 0;
        }
        if (!mQuarantineEnforced) {
            return AVOIDANCE_PENALTY;
        }
        boolean startsProbe =
                isProbeCandidate(task) && mQuarantine.isProbeDue(worker.worker(), mNowMs);
        return startsProbe ? -AVOIDANCE_PENALTY : FORBIDDEN;
    }

    @Override
    public void onStart(TaskSpecification task, WorkerView worker) {
        mQuarantine.recordStart(task.task(), worker.worker());
    }

    private static boolean isProbeCandidate(TaskSpecification task) {
        return task.service().isEmpty()
                && !task.urgent()
                && task.estimatedMs() <= MAXIMUM_PROBE_RUN_MS;
    }
}
