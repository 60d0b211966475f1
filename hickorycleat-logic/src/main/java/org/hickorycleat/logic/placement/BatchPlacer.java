package org.hickorycleat.logic.placement;

import org.hickorycleat.logic.batch.GapRule;
import org.hickorycleat.logic.batch.RunTimeEstimator;
import org.hickorycleat.logic.placement.PlacementView.PendingTask;
import org.hickorycleat.model.task.Resources;
import org.hickorycleat.model.task.TaskSpecification;
import org.jspecify.annotations.Nullable;

/** Places batch tasks in queue order and backfills without delaying the head of the queue. */
final class BatchPlacer {
    /** Bounds the time of a call when no reservation can be found for the first tasks in order. */
    private static final int MAXIMUM_RESERVATION_SEARCHES = 4;

    private final PlacementRound mRound;
    private final PlacementConstraint mConstraint;
    private final RunTimeEstimator mEstimator;
    private final GapRule mGapRule;
    private final long mReservationDelayMs;
    private int mReservationSearches;
    private @Nullable HeadReservation mHead;

    BatchPlacer(
            PlacementRound round,
            PlacementConstraint constraint,
            RunTimeEstimator estimator,
            GapRule gapRule,
            long reservationDelayMs) {
        mReservationDelayMs = reservationDelayMs;
        mRound = round;
        mConstraint = constraint;
        mEstimator = estimator;
        mGapRule = gapRule;
    }

    /**
     * Starts the task if its resources are free. Otherwise the first task that has waited for the
     * reservation delay becomes the head and gets a reservation.
     */
    boolean place(PendingTask task) {
        TaskSpecification specification = task.specification();
        if (!mRound.isWithinQuota(specification)) {
            return false;
        }
        Resources size = mEstimator.size(specification);
        if (start(task, size)) {
            return true;
        }
        boolean delayPassed = mRound.nowMs() - task.submittedMs() >= mReservationDelayMs;
        if (mHead == null && delayPassed && mReservationSearches < MAXIMUM_RESERVATION_SEARCHES) {
            mReservationSearches++;
            mHead =
                    HeadReservation.find(
                            mRound,
                            new CompletionTimes(mEstimator),
                            size,
                            worker ->
                                    penalty(specification, worker) < PlacementConstraint.FORBIDDEN);
        }
        return false;
    }

    /** Starts the task if its resources are free; never makes a reservation. */
    boolean placeWithoutReservation(PendingTask task) {
        TaskSpecification specification = task.specification();
        return mRound.isWithinQuota(specification) && start(task, mEstimator.size(specification));
    }

    private boolean start(PendingTask task, Resources size) {
        if (!mRound.table().fitsAnyWorker(size)) {
            return false;
        }
        TaskSpecification specification = task.specification();
        long endMs = mRound.nowMs() + mEstimator.upperMs(specification) - task.progressMs();
        int worker = bestWorker(specification, size, endMs);
        if (worker < 0) {
            return false;
        }
        if (mHead != null && worker == mHead.worker()) {
            mHead.recordStart(size, endMs);
        }
        mRound.start(task, worker);
        return true;
    }

    private int bestWorker(TaskSpecification task, Resources size, long endMs) {
        WorkerTable table = mRound.table();
        boolean constrained = mConstraint.appliesTo(task);
        int best = -1;
        double lowestCost = PlacementConstraint.FORBIDDEN;
        for (int i = 0; i < table.size(); i++) {
            if (!table.fits(i, size) || !respectsReservation(i, size, endMs)) {
                continue;
            }
            double cost = mGapRule.cost(FreeResources.gap(table, i, mRound.nowMs(), gapEndMs(i)));
            cost += constrained ? penalty(task, i) : 0;
            if (cost < lowestCost) {
                lowestCost = cost;
                best = i;
            }
        }
        return best;
    }

    private double penalty(TaskSpecification task, int worker) {
        return mConstraint.penalty(task, mRound.table().worker(worker), mRound.view());
    }

    private boolean respectsReservation(int worker, Resources size, long endMs) {
        return mHead == null || worker != mHead.worker() || mHead.admits(size, endMs);
    }

    private long gapEndMs(int worker) {
        return mHead != null && worker == mHead.worker() ? mHead.startMs() : Long.MAX_VALUE;
    }
}
