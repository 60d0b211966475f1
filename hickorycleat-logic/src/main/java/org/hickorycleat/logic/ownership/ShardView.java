package org.hickorycleat.logic.ownership;

import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.hickorycleat.logic.placement.PlacementView;
import org.hickorycleat.logic.placement.WorkerView;
import org.hickorycleat.model.identifier.TeamName;
import org.hickorycleat.model.identifier.WorkerId;
import org.hickorycleat.model.task.Resources;

/** Immutable view of a shard for the placement policy. */
final class ShardView implements PlacementView {
    private final Map<WorkerId, WorkerView> mWorkers = new LinkedHashMap<>();
    private final List<PendingTask> mPending;
    private final List<PlacedTask> mPlaced;
    private final Map<TeamName, Resources> mQuotas;

    ShardView(
            List<WorkerView> workers,
            List<PendingTask> pending,
            List<PlacedTask> placed,
            Map<TeamName, Resources> quotas) {
        workers.forEach(worker -> mWorkers.put(worker.worker(), worker));
        mPending = List.copyOf(pending);
        mPlaced = List.copyOf(placed);
        mQuotas = Map.copyOf(quotas);
    }

    @Override
    public Collection<WorkerView> workers() {
        return List.copyOf(mWorkers.values());
    }

    @Override
    public Optional<WorkerView> worker(WorkerId worker) {
        return Optional.ofNullable(mWorkers.get(worker));
    }

    @Override
    public Collection<PendingTask> pendingTasks() {
        return mPending;
    }

    @Override
    public Collection<PlacedTask> placedTasks() {
        return mPlaced;
    }

    @Override
    public Map<TeamName, Resources> quotas() {
        return mQuotas;
    }
}
