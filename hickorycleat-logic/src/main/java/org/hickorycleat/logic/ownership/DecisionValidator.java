package org.hickorycleat.logic.ownership;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.hickorycleat.logic.placement.PlacementView;
import org.hickorycleat.logic.placement.WorkerView;
import org.hickorycleat.model.identifier.TaskId;
import org.hickorycleat.model.identifier.WorkerId;
import org.hickorycleat.model.task.PlacementDecision;
import org.hickorycleat.model.task.Resources;

/**
 * Filters out decisions of a placement policy that are invalid or exceed the capacity of a worker.
 * An eviction in the same list frees nothing: its resources stay reserved until the attempt is
 * known to have ended.
 */
final class DecisionValidator {
    private final Map<WorkerId, Resources> mFree = new HashMap<>();
    private final Map<TaskId, PlacementView.PendingTask> mPending = new HashMap<>();
    private final Set<TaskId> mPlaced = new HashSet<>();
    private final Set<TaskId> mDecided = new HashSet<>();
    private final long mWallMs;

    DecisionValidator(PlacementView view, long wallMs) {
        mWallMs = wallMs;
        for (WorkerView worker : view.workers()) {
            if (worker.available()) {
                mFree.put(worker.worker(), worker.free());
            }
        }
        view.pendingTasks().forEach(task -> mPending.put(task.specification().task(), task));
        view.placedTasks().stream()
                .filter(task -> task.phase() != PlacementView.Phase.STOPPING)
                .forEach(task -> mPlaced.add(task.specification().task()));
    }

    List<PlacementDecision> admit(List<PlacementDecision> decisions) {
        return decisions.stream().filter(this::tryAdmit).toList();
    }

    private boolean tryAdmit(PlacementDecision decision) {
        if (!validateAndReserve(decision)) {
            return false;
        }
        return mDecided.add(decision.task());
    }

    private boolean validateAndReserve(PlacementDecision decision) {
        if (mDecided.contains(decision.task())) {
            return false;
        }
        if (decision instanceof PlacementDecision.Start start) {
            return reserve(start);
        }
        if (decision instanceof PlacementDecision.Reject) {
            return mPending.containsKey(decision.task());
        }
        return mPlaced.contains(decision.task());
    }

    private boolean reserve(PlacementDecision.Start start) {
        Optional<PlacementView.PendingTask> task = Optional.ofNullable(mPending.get(start.task()));
        Optional<Resources> free = Optional.ofNullable(mFree.get(start.worker()));
        if (task.isEmpty() || free.isEmpty()) {
            return false;
        }
        Resources needed = task.get().specification().resources();
        boolean released = task.get().specification().releaseMs() <= mWallMs;
        if (!released || !needed.fitsInto(free.get())) {
            return false;
        }
        mFree.put(start.worker(), free.get().minus(needed));
        return true;
    }
}
