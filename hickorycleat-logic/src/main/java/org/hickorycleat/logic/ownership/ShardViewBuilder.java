package org.hickorycleat.logic.ownership;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.hickorycleat.logic.placement.PlacementView;
import org.hickorycleat.logic.placement.WorkerView;
import org.hickorycleat.model.identifier.TaskId;
import org.hickorycleat.model.identifier.TeamName;
import org.hickorycleat.model.identifier.WorkerId;
import org.hickorycleat.model.task.Resources;

/** Builds the view of a shard from its recorded state and the sessions of its agents. */
final class ShardViewBuilder {
    private final ShardState mState;
    private final AgentDirectory mAgents;
    private final AttemptTracker mTracker;
    private final Map<WorkerId, Resources> mReserved = new HashMap<>();
    private final List<PlacementView.PendingTask> mPending = new ArrayList<>();
    private final List<PlacementView.PlacedTask> mPlaced = new ArrayList<>();

    ShardViewBuilder(ShardState state, AgentDirectory agents, AttemptTracker tracker) {
        mState = state;
        mAgents = agents;
        mTracker = tracker;
    }

    /**
     * Builds the view without the pending tasks for which the same batch already has a decision.
     */
    ShardView build(Set<TaskId> decided, Map<TeamName, Resources> quotas) {
        for (TaskRecord task : mState.tasks()) {
            if (task.attempt().isPresent()) {
                addPlaced(task, task.attempt().get());
            } else if (!decided.contains(task.task())) {
                addPending(task);
            }
        }
        return new ShardView(
                mAgents.sessions().stream().map(this::workerView).toList(),
                mPending,
                mPlaced,
                quotas);
    }

    /**
     * Adds a pending task. A service instance has one attempt; its replacement has another
     * identity.
     */
    private void addPending(TaskRecord task) {
        boolean ended = task.specification().service().isPresent() && task.lastAttempt() > 0;
        if (ended) {
            return;
        }
        mPending.add(
                new PlacementView.PendingTask(
                        task.specification(),
                        task.submittedMs(),
                        task.progressMs(),
                        task.evictions(),
                        task.failures()));
    }

    private void addPlaced(TaskRecord task, AttemptRecord attempt) {
        mReserved.merge(attempt.worker(), task.specification().resources(), Resources::plus);
        mPlaced.add(
                new PlacementView.PlacedTask(
                        task.specification(),
                        attempt.worker(),
                        attempt.startedMs(),
                        Math.max(
                                attempt.startedMs(),
                                task.checkpoint().map(Checkpoint::savedMs).orElse(0L)),
                        task.progressMs(),
                        task.evictions(),
                        phase(task, attempt),
                        attempt.throttlePermille()));
    }

    private PlacementView.Phase phase(TaskRecord task, AttemptRecord attempt) {
        if (attempt.stop().isPresent()) {
            return PlacementView.Phase.STOPPING;
        }
        Optional<AgentSession> agent = mAgents.findByWorker(attempt.worker());
        if (!agent.map(AgentSession::isFenced).orElse(false)) {
            return PlacementView.Phase.UNCERTAIN;
        }
        return mTracker.observation(task.task(), attempt.number()).confirmed()
                ? PlacementView.Phase.RUNNING
                : PlacementView.Phase.STARTING;
    }

    /**
     * Returns the view of a worker. A worker that restarted with less capacity may hold more than
     * that; it then has no free resources.
     */
    private WorkerView workerView(AgentSession agent) {
        Resources capacity = agent.summary().capacity();
        Resources reserved = mReserved.getOrDefault(agent.worker(), Resources.NONE);
        return new WorkerView(
                agent.worker(),
                agent.summary().rack(),
                agent.zone(),
                capacity,
                minimum(reserved, capacity),
                agent.isReadyForStart());
    }

    private static Resources minimum(Resources amount, Resources limit) {
        return new Resources(
                Math.min(amount.processorsMilli(), limit.processorsMilli()),
                Math.min(amount.memoryMebibytes(), limit.memoryMebibytes()),
                Math.min(amount.accelerators(), limit.accelerators()));
    }
}
