package org.hickorycleat.logic.quarantine;

import org.hickorycleat.logic.placement.IndexedPlacementView;
import org.hickorycleat.logic.placement.PlacementConstraint;
import org.hickorycleat.logic.placement.WorkerView;
import org.hickorycleat.model.identifier.WorkerId;
import org.hickorycleat.model.task.TaskSpecification;

/** Keeps work off quarantined workers, but for one cheap probe at a time. */
public final class QuarantineConstraint implements PlacementConstraint {
    /** Longest declared run time of a probe, so that little work is lost if it fails. */
    private static final long LONGEST_PROBE_MS = 600_000;

    private static final double ELSEWHERE = 4;

    private final WorkerQuarantine mQuarantine;
    private boolean mAnyQuarantined;
    private boolean mFewQuarantined;
    private long mNowMs;

    /** Creates the constraint. */
    public QuarantineConstraint(WorkerQuarantine quarantine) {
        mQuarantine = quarantine;
    }

    /** Prepares a call: withdraws probes that are on no worker, and notes the time. */
    public void prepare(IndexedPlacementView view, long nowMs) {
        mNowMs = nowMs;
        int quarantined = 0;
        for (WorkerId worker : mQuarantine.quarantined()) {
            quarantined++;
            if (!probeRuns(view, worker)) {
                mQuarantine.probeWithdrawn(worker);
            }
        }
        mAnyQuarantined = quarantined > 0;
        // When most of the fleet fails, the cause is shared and quarantine would only stop all
        // work.
        mFewQuarantined = quarantined * 2 <= view.workers().size();
    }

    private boolean probeRuns(IndexedPlacementView view, WorkerId worker) {
        return mQuarantine
                .probe(worker)
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
        if (mQuarantine.failedOn(task.task(), worker.worker())) {
            return ELSEWHERE;
        }
        if (!mAnyQuarantined || !mQuarantine.quarantined(worker.worker())) {
            return 0;
        }
        if (!mFewQuarantined) {
            return ELSEWHERE;
        }
        boolean probes = cheap(task) && mQuarantine.probeDue(worker.worker(), mNowMs);
        return probes ? -ELSEWHERE : FORBIDDEN;
    }

    @Override
    public void onStart(TaskSpecification task, WorkerView worker) {
        mQuarantine.started(task.task(), worker.worker());
    }

    private static boolean cheap(TaskSpecification task) {
        return task.service().isEmpty() && !task.urgent() && task.estimatedMs() <= LONGEST_PROBE_MS;
    }
}
