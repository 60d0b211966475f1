package org.hickorycleat.logic.placement;

import org.hickorycleat.logic.batch.GapRule;
import org.hickorycleat.logic.batch.RunTimeEstimator;
import org.hickorycleat.logic.placement.PlacementView.PendingTask;
import org.hickorycleat.model.task.Resources;
import org.hickorycleat.model.task.TaskSpecification;
import org.jspecify.annotations.Nullable;

/** Places batch work in order, and fills gaps without delaying the head of the queue. */
final class BatchPlacer {
    /** Bounds the time of a call when the first tasks in order cannot be given a reservation. */
    private static final int MAXIMUM_HEAD_SEARCHES = 4;

    private final PlacementRound mRound;
    private final PlacementConstraint mConstraint;
    private final RunTimeEstimator mEstimator;
    private final GapRule mGapRule;
    private final long mReserveAfterMs;
    private int mHeadSearches;
    private @Nullable HeadReservation mHead;

    BatchPlacer(
            PlacementRound round,
            PlacementConstraint constraint,
            RunTimeEstimator estimator,
            GapRule gapRule,
            long reserveAfterMs) {
        mReserveAfterMs = reserveAfterMs;
        mRound = round;
        mConstraint = constraint;
        mEstimator = estimator;
        mGapRule = gapRule;
    }

    /** Starts it if there is room; the first without room that waited long becomes the head. */
    boolean place(PendingTask task) {
        TaskSpecification specification = task.specification();
        if (!mRound.withinQuota(specification)) {
            return false;
        }
        Resources size = mEstimator.size(specification);
        if (start(task, size)) {
            return true;
        }
        boolean waitedLong = mRound.nowMs() - task.submittedMs() >= mReserveAfterMs;
        if (mHead == null && waitedLong && mHeadSearches < MAXIMUM_HEAD_SEARCHES) {
            mHeadSearches++;
            mHead =
                    HeadReservation.find(
                            mRound,
                            new RunningEnds(mEstimator),
                            size,
                            worker ->
                                    penalty(specification, worker) < PlacementConstraint.FORBIDDEN);
        }
        return false;
    }

    /** Starts the task if there is room for it, without a reservation otherwise. */
    boolean placeWithoutReservation(PendingTask task) {
        TaskSpecification specification = task.specification();
        return mRound.withinQuota(specification) && start(task, mEstimator.size(specification));
    }

    private boolean start(PendingTask task, Resources size) {
        if (!mRound.table().anyFits(size)) {
            return false;
        }
        TaskSpecification specification = task.specification();
        long endMs = mRound.nowMs() + mEstimator.upperMs(specification) - task.progressMs();
        int worker = best(specification, size, endMs);
        if (worker < 0) {
            return false;
        }
        if (mHead != null && worker == mHead.worker()) {
            mHead.started(size, endMs);
        }
        mRound.start(task, worker);
        return true;
    }

    private int best(TaskSpecification task, Resources size, long endMs) {
        WorkerTable table = mRound.table();
        boolean concerned = mConstraint.appliesTo(task);
        int best = -1;
        double lowest = PlacementConstraint.FORBIDDEN;
        for (int i = 0; i < table.size(); i++) {
            if (!table.fits(i, size) || !admitted(i, size, endMs)) {
                continue;
            }
            double cost = mGapRule.cost(Fit.gap(table, i, mRound.nowMs(), gapEndMs(i)));
            cost += concerned ? penalty(task, i) : 0;
            if (cost < lowest) {
                lowest = cost;
                best = i;
            }
        }
        return best;
    }

    private double penalty(TaskSpecification task, int worker) {
        return mConstraint.penalty(task, mRound.table().worker(worker), mRound.view());
    }

    private boolean admitted(int worker, Resources size, long endMs) {
        return mHead == null || worker != mHead.worker() || mHead.admits(size, endMs);
    }

    private long gapEndMs(int worker) {
        return mHead != null && worker == mHead.worker() ? mHead.startMs() : Long.MAX_VALUE;
    }
}
