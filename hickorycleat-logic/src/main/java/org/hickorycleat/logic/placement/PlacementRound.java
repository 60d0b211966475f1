package org.hickorycleat.logic.placement;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.hickorycleat.logic.placement.PlacementView.PendingTask;
import org.hickorycleat.model.identifier.TaskId;
import org.hickorycleat.model.identifier.TeamName;
import org.hickorycleat.model.result.ResultCode;
import org.hickorycleat.model.task.PlacementDecision;
import org.hickorycleat.model.task.Resources;
import org.hickorycleat.model.task.TaskSpecification;

/** State of one call of the policy: decisions so far and the resources they leave free. */
final class PlacementRound {
    private final IndexedPlacementView mView;
    private final long mNowMs;
    private final WorkerTable mTable;
    private final ResourceClaims mClaims;
    private final Map<TeamName, Resources> mAddedUsage = new HashMap<>();
    private final Set<TaskId> mDecided = new HashSet<>();
    private final List<PlacementDecision> mDecisions = new ArrayList<>();
    private final PlacementConstraint mConstraint;
    private int mStartCount;

    PlacementRound(IndexedPlacementView view, long nowMs, PlacementConstraint constraint) {
        mConstraint = constraint;
        mView = view;
        mNowMs = nowMs;
        mTable = new WorkerTable(view.workers());
        mClaims = new ResourceClaims(mTable);
    }

    IndexedPlacementView view() {
        return mView;
    }

    long nowMs() {
        return mNowMs;
    }

    WorkerTable table() {
        return mTable;
    }

    ResourceClaims claims() {
        return mClaims;
    }

    List<PlacementDecision> decisions() {
        return mDecisions;
    }

    int startCount() {
        return mStartCount;
    }

    boolean isDecided(TaskId task) {
        return mDecided.contains(task);
    }

    void start(PendingTask task, int worker) {
        TaskSpecification specification = task.specification();
        mTable.take(worker, specification.resources());
        if (specification.service().isEmpty()) {
            mAddedUsage.merge(specification.team(), specification.resources(), Resources::plus);
        }
        add(new PlacementDecision.Start(specification.task(), mTable.worker(worker).worker()));
        mConstraint.onStart(specification, mTable.worker(worker));
        mStartCount++;
    }

    void reject(TaskId task, ResultCode code, String reason) {
        add(new PlacementDecision.Reject(task, code, reason));
    }

    void add(PlacementDecision decision) {
        mDecided.add(decision.task());
        mDecisions.add(decision);
    }

    /** Returns whether a task fits into the quota of its team; services do not count against it. */
    boolean isWithinQuota(TaskSpecification task) {
        Resources quota = mView.quotas().get(task.team());
        if (quota == null || task.service().isPresent()) {
            return true;
        }
        Resources used =
                mView.usageOf(task.team())
                        .plus(mAddedUsage.getOrDefault(task.team(), Resources.NONE));
        return used.plus(task.resources()).fitsInto(quota);
    }
}
