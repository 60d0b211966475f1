package org.hickorycleat.logic.ownership;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.hickorycleat.logic.placement.PlacementPolicy;
import org.hickorycleat.model.identifier.TaskId;
import org.hickorycleat.model.task.PlacementDecision;
import org.hickorycleat.model.task.TaskState;

/**
 * Plans the next batch: observed facts first, then changes required by the manifest, then decisions
 * of the placement policy.
 */
final class DecisionPlanner {
    private final PlacementPolicy mPolicy;
    private final AgentDirectory mAgents;
    private final AttemptTracker mTracker;
    private final OwnerSettings mSettings;
    private long mDroppedDecisions;

    DecisionPlanner(
            PlacementPolicy policy,
            AgentDirectory agents,
            AttemptTracker tracker,
            OwnerSettings settings) {
        mPolicy = policy;
        mAgents = agents;
        mTracker = tracker;
        mSettings = settings;
    }

    long droppedDecisions() {
        return mDroppedDecisions;
    }

    List<ShardDecision> plan(ShardState state, Optional<ShardManifest> manifest, PlanningTime now) {
        List<ShardDecision> decisions = new ArrayList<>();
        state.tasks().forEach(task -> observedDecision(task, now).ifPresent(decisions::add));
        if (manifest.isPresent()) {
            decisions.addAll(reconcile(state, manifest.get(), now));
            decisions.addAll(place(state, manifest.get(), decisions, now));
        }
        int size = Math.min(decisions.size(), mSettings.maximumBatchDecisions());
        return decisions.subList(0, size);
    }

    private List<ShardDecision> reconcile(
            ShardState state, ShardManifest manifest, PlanningTime now) {
        return new ManifestReconciler(
                        state,
                        manifest,
                        mTracker,
                        worker ->
                                mAgents.isUnreachableFor(
                                        worker,
                                        mSettings.serviceReplacementMs(),
                                        now.ownedSinceMs(),
                                        now.monotonicMs()),
                        mSettings.endedRetentionMs())
                .decisions(now.wallMs());
    }

    /**
     * Returns the decision that records the observed end or a new checkpoint of the current attempt
     * of a task.
     */
    private Optional<ShardDecision> observedDecision(TaskRecord task, PlanningTime now) {
        if (task.attempt().isEmpty()) {
            return Optional.empty();
        }
        AttemptRecord attempt = task.attempt().get();
        AttemptTracker.Observation observation =
                mTracker.observation(task.task(), attempt.number());
        Optional<TaskState> end =
                observation.endState().or(() -> provenEnd(task.task(), attempt, now.monotonicMs()));
        if (end.isPresent()) {
            return Optional.of(
                    new ShardDecision.EndAttempt(
                            task.task(),
                            attempt.number(),
                            end.get(),
                            observation.checkpoint(),
                            now.wallMs()));
        }
        return observation
                .checkpoint()
                .filter(saved -> isNew(saved, task.checkpoint()))
                .map(
                        saved ->
                                new ShardDecision.SaveCheckpoint(
                                        task.task(), attempt.number(), saved));
    }

    private static boolean isNew(Checkpoint saved, Optional<Checkpoint> recorded) {
        return recorded.map(before -> !before.name().equals(saved.name())).orElse(true);
    }

    private Optional<TaskState> provenEnd(TaskId task, AttemptRecord attempt, long nowMs) {
        boolean restarted =
                mAgents.findByWorker(attempt.worker())
                        .map(
                                agent ->
                                        agent.incarnation().compareTo(attempt.workerIncarnation())
                                                > 0)
                        .orElse(false);
        boolean expired = mTracker.leaseExpiries().isExpired(task, attempt.number(), nowMs);
        return restarted || expired ? Optional.of(TaskState.EXPIRED) : Optional.empty();
    }

    private List<ShardDecision> place(
            ShardState state,
            ShardManifest manifest,
            List<ShardDecision> planned,
            PlanningTime now) {
        if (manifest.version().compareTo(state.manifestVersion()) < 0) {
            return List.of();
        }
        Set<TaskId> decided = new HashSet<>();
        planned.forEach(decision -> decidedTask(decision).ifPresent(decided::add));
        ShardView view =
                new ShardViewBuilder(state, mAgents, mTracker).build(decided, manifest.quotas());
        List<PlacementDecision> proposed = mPolicy.decide(view, now.wallMs());
        List<PlacementDecision> admitted =
                new DecisionValidator(view, now.wallMs()).admit(proposed);
        mDroppedDecisions += proposed.size() - admitted.size();
        return admitted.stream()
                .filter(decision -> !decided.contains(decision.task()))
                .flatMap(decision -> record(state, decision, now).stream())
                .toList();
    }

    private Optional<ShardDecision> record(
            ShardState state, PlacementDecision decision, PlanningTime now) {
        TaskRecord task = state.task(decision.task()).orElseThrow();
        if (decision instanceof PlacementDecision.Start start) {
            return mAgents.findByWorker(start.worker())
                    .map(
                            agent ->
                                    new ShardDecision.Start(
                                            task.task(),
                                            task.nextAttempt(),
                                            start.worker(),
                                            agent.incarnation(),
                                            now.wallMs()));
        }
        if (decision instanceof PlacementDecision.Reject reject) {
            return Optional.of(
                    ShardDecision.end(
                            task.task(),
                            TaskResult.Outcome.FAILED,
                            reject.code(),
                            reject.reason(),
                            now.wallMs()));
        }
        return task.attempt().map(attempt -> toAttemptDecision(decision, attempt));
    }

    private static ShardDecision toAttemptDecision(
            PlacementDecision decision, AttemptRecord attempt) {
        if (decision instanceof PlacementDecision.Throttle throttle) {
            return new ShardDecision.Throttle(
                    throttle.task(), attempt.number(), throttle.permille());
        }
        PlacementDecision.Evict evict = (PlacementDecision.Evict) decision;
        return new ShardDecision.Stop(
                evict.task(), attempt.number(), StopCause.EVICTED, evict.reason());
    }

    private static Optional<TaskId> decidedTask(ShardDecision decision) {
        if (decision instanceof ShardDecision.EndAttempt end) {
            return Optional.of(end.task());
        }
        if (decision instanceof ShardDecision.EndTask end) {
            return Optional.of(end.task());
        }
        if (decision instanceof ShardDecision.Stop stop) {
            return Optional.of(stop.task());
        }
        return Optional.empty();
    }

    /**
     * Clock readings for one planning pass.
     *
     * @param monotonicMs scheduler time in milliseconds, used for leases
     * @param wallMs wall-clock time in Unix milliseconds, used in records
     * @param ownedSinceMs scheduler time at which the claim was read back, in milliseconds
     */
    record PlanningTime(long monotonicMs, long wallMs, long ownedSinceMs) {}
}
