package org.hickorycleat.logic.placement;

import java.util.Collection;
import java.util.Collections;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import org.hickorycleat.model.identifier.ServiceName;
import org.hickorycleat.model.identifier.TaskId;
import org.hickorycleat.model.identifier.TeamName;
import org.hickorycleat.model.identifier.WorkerId;
import org.hickorycleat.model.task.Resources;
import org.hickorycleat.model.task.TaskSpecification;

/**
 * A placement view that is updated between calls of the policy. Every update takes constant time,
 * so that many cancellations at once stay cheap. Not safe for use by several threads.
 */
public final class IncrementalPlacementView implements IndexedPlacementView {
    private final Map<WorkerId, WorkerView> mWorkers = new LinkedHashMap<>();
    private final Map<TaskId, PendingTask> mPendingHighPriority = new LinkedHashMap<>();
    private final Map<TaskId, PendingTask> mPendingBatch = new LinkedHashMap<>();
    private final Map<TaskId, PlacedTask> mPlaced = new LinkedHashMap<>();
    private final Map<WorkerId, Map<TaskId, PlacedTask>> mPlacedByWorker = new HashMap<>();
    private final Map<ServiceName, Map<TaskId, PlacedTask>> mPlacedByService = new HashMap<>();
    private final Map<TeamName, Resources> mUsage = new HashMap<>();
    private final Map<TeamName, Resources> mQuotas = new HashMap<>();

    /** Returns an indexed copy of a view. */
    public static IncrementalPlacementView copyOf(PlacementView view) {
        IncrementalPlacementView copy = new IncrementalPlacementView();
        view.placedTasks().forEach(copy::addPlaced);
        view.workers().forEach(worker -> copy.mWorkers.put(worker.worker(), worker));
        view.pendingTasks().forEach(copy::addPending);
        copy.mQuotas.putAll(view.quotas());
        return copy;
    }

    /**
     * Adds a worker or updates its rack, zone, capacity or availability; keeps its reservations.
     */
    public void putWorker(WorkerView worker) {
        Resources reserved = Resources.NONE;
        for (PlacedTask task : placedOn(worker.worker())) {
            reserved = reserved.plus(task.specification().resources());
        }
        mWorkers.put(worker.worker(), withReserved(worker, reserved));
    }

    /** Removes a worker; its tasks stay placed until they are removed too. */
    public void removeWorker(WorkerId worker) {
        mWorkers.remove(worker);
    }

    /** Adds a pending task or replaces its record. */
    public void addPending(PendingTask task) {
        TaskSpecification specification = task.specification();
        boolean highPriority = specification.urgent() || specification.service().isPresent();
        (highPriority ? mPendingHighPriority : mPendingBatch).put(specification.task(), task);
    }

    /** Removes a pending task. */
    public void removePending(TaskId task) {
        if (mPendingBatch.remove(task) == null) {
            mPendingHighPriority.remove(task);
        }
    }

    /** Adds a placed task or replaces its record, and removes it from the pending tasks. */
    public void putPlaced(PlacedTask task) {
        TaskId id = task.specification().task();
        removePending(id);
        removePlaced(id);
        addPlaced(task);
        reserve(task.worker(), task.specification().resources());
    }

    /** Removes a placed task and releases its resources. */
    public void removePlaced(TaskId id) {
        PlacedTask task = mPlaced.remove(id);
        if (task == null) {
            return;
        }
        TaskSpecification specification = task.specification();
        remove(mPlacedByWorker, task.worker(), id);
        specification.service().ifPresent(service -> remove(mPlacedByService, service, id));
        if (specification.service().isEmpty()) {
            mUsage.computeIfPresent(
                    specification.team(), (team, used) -> used.minus(specification.resources()));
        }
        WorkerView worker = mWorkers.get(task.worker());
        if (worker != null) {
            Resources reserved = worker.reserved().minus(specification.resources());
            mWorkers.put(task.worker(), withReserved(worker, reserved));
        }
    }

    /** Sets the quota of a team. */
    public void putQuota(TeamName team, Resources quota) {
        mQuotas.put(team, quota);
    }

    /** Removes the quota of a team. */
    public void removeQuota(TeamName team) {
        mQuotas.remove(team);
    }

    @Override
    public Collection<WorkerView> workers() {
        return Collections.unmodifiableCollection(mWorkers.values());
    }

    @Override
    public Optional<WorkerView> worker(WorkerId worker) {
        return Optional.ofNullable(mWorkers.get(worker));
    }

    @Override
    public Collection<PendingTask> pendingTasks() {
        Map<TaskId, PendingTask> all = new LinkedHashMap<>(mPendingHighPriority);
        all.putAll(mPendingBatch);
        return all.values();
    }

    @Override
    public Collection<PlacedTask> placedTasks() {
        return Collections.unmodifiableCollection(mPlaced.values());
    }

    @Override
    public Map<TeamName, Resources> quotas() {
        return Collections.unmodifiableMap(mQuotas);
    }

    @Override
    public Collection<PendingTask> pendingHighPriority() {
        return Collections.unmodifiableCollection(mPendingHighPriority.values());
    }

    @Override
    public Collection<PendingTask> pendingBatch() {
        return Collections.unmodifiableCollection(mPendingBatch.values());
    }

    @Override
    public Optional<PendingTask> pending(TaskId task) {
        PendingTask batch = mPendingBatch.get(task);
        return Optional.ofNullable(batch != null ? batch : mPendingHighPriority.get(task));
    }

    @Override
    public Collection<PlacedTask> placedOn(WorkerId worker) {
        return mPlacedByWorker.getOrDefault(worker, Map.of()).values();
    }

    @Override
    public Collection<PlacedTask> instancesOf(ServiceName service) {
        return mPlacedByService.getOrDefault(service, Map.of()).values();
    }

    @Override
    public Resources usageOf(TeamName team) {
        return mUsage.getOrDefault(team, Resources.NONE);
    }

    private void addPlaced(PlacedTask task) {
        TaskSpecification specification = task.specification();
        TaskId id = specification.task();
        mPlaced.put(id, task);
        mPlacedByWorker.computeIfAbsent(task.worker(), key -> new LinkedHashMap<>()).put(id, task);
        specification
                .service()
                .ifPresent(
                        service ->
                                mPlacedByService
                                        .computeIfAbsent(service, key -> new LinkedHashMap<>())
                                        .put(id, task));
        if (specification.service().isEmpty()) {
            mUsage.merge(specification.team(), specification.resources(), Resources::plus);
        }
    }

    private void reserve(WorkerId id, Resources resources) {
        WorkerView worker = mWorkers.get(id);
        if (worker != null) {
            mWorkers.put(id, withReserved(worker, worker.reserved().plus(resources)));
        }
    }

    private static <K> void remove(Map<K, Map<TaskId, PlacedTask>> index, K key, TaskId task) {
        Map<TaskId, PlacedTask> tasks = index.get(key);
        if (tasks != null && tasks.remove(task) != null && tasks.isEmpty()) {
            index.remove(key);
        }
    }

    private static WorkerView withReserved(WorkerView worker, Resources reserved) {
        return new WorkerView(
                worker.worker(),
                worker.rack(),
                worker.zone(),
                worker.capacity(),
                reserved,
                worker.available());
    }
}
