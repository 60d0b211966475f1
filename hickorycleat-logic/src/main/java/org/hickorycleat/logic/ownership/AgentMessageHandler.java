package org.hickorycleat.logic.ownership;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.hickorycleat.model.identifier.TaskId;
import org.hickorycleat.model.message.LeaseRequest;
import org.hickorycleat.model.message.TaskAttempt;
import org.hickorycleat.model.message.TaskReport;

/** Handles messages of agents according to the recorded state of the shard. */
final class AgentMessageHandler {
    private final OwnerSettings mSettings;
    private final AttemptTracker mTracker;
    private final CommandSender mCommands;

    AgentMessageHandler(OwnerSettings settings, AttemptTracker tracker, CommandSender commands) {
        mSettings = settings;
        mTracker = tracker;
        mCommands = commands;
    }

    /**
     * Handles the acknowledgement of a fence. The worker now rejects older epochs, so leases
     * granted under them expire within one lease duration.
     */
    void onFenceAcknowledged(AgentSession agent, ShardState state, long nowMs) {
        agent.onFenceAcknowledged();
        for (TaskRecord task : state.tasks()) {
            task.attempt()
                    .filter(agent::hosts)
                    .ifPresent(
                            attempt ->
                                    mTracker.leaseExpiries()
                                            .recordFence(task.task(), attempt.number(), nowMs));
        }
    }

    /**
     * Handles a lease request: grants leases for recorded attempts, stops attempts that are not
     * recorded and starts recorded attempts that the worker does not hold. A stopping attempt gets
     * no lease, so that it expires if its stop is never confirmed.
     */
    void onLeaseRequest(
            AgentSession agent,
            LeaseRequest request,
            ShardState state,
            DecisionPlanner.PlanningTime now) {
        agent.onLeaseRequested(request.number());
        List<TaskAttempt> granted = new ArrayList<>();
        Set<TaskId> held = new HashSet<>();
        for (TaskAttempt task : request.tasks()) {
            Optional<TaskRecord> recorded = findRecorded(agent, task, state);
            if (recorded.isEmpty()) {
                mCommands.stop(agent, task.task(), task.attempt());
                continue;
            }
            held.add(task.task());
            mTracker.recordConfirmation(task.task(), task.attempt());
            if (recorded.get().attempt().flatMap(AttemptRecord::stop).isEmpty()) {
                granted.add(task);
                checkpointIfDue(agent, recorded.get(), now.wallMs());
            }
        }
        mCommands.grant(agent, request.number(), granted, now.monotonicMs());
        state.tasks().stream()
                .filter(task -> task.attempt().filter(agent::hosts).isPresent())
                .filter(task -> isStopping(task) || !held.contains(task.task()))
                .forEach(task -> sendCommand(agent, task, now.monotonicMs()));
    }

    /** Handles a task report; reports on any but the current attempt are ignored. */
    void onTaskReport(AgentSession agent, TaskReport report, ShardState state, long wallMs) {
        boolean current =
                state.task(report.task())
                        .filter(task -> task.isAt(report.attempt()))
                        .flatMap(TaskRecord::attempt)
                        .filter(agent::hosts)
                        .isPresent();
        if (current) {
            mTracker.recordReport(report, wallMs);
        }
    }

    /**
     * Sends the start or stop of the current attempt of a task, unless the worker reported its end.
     */
    void sendCommand(AgentSession agent, TaskRecord task, long nowMs) {
        AttemptRecord attempt = task.attempt().orElseThrow();
        if (mTracker.observation(task.task(), attempt.number()).endState().isPresent()) {
            return;
        }
        if (attempt.stop().isPresent()) {
            mCommands.stop(agent, task, attempt);
        } else {
            mCommands.start(agent, task, nowMs);
        }
    }

    private void checkpointIfDue(AgentSession agent, TaskRecord task, long wallMs) {
        AttemptRecord attempt = task.attempt().orElseThrow();
        long savedMs =
                Math.max(
                        attempt.startedMs(), task.checkpoint().map(Checkpoint::savedMs).orElse(0L));
        boolean due = wallMs - savedMs >= mSettings.checkpointIntervalMs();
        if (due && task.specification().checkpointable()) {
            mCommands.checkpoint(agent, task.task(), attempt.number());
        }
    }

    private static boolean isStopping(TaskRecord task) {
        return task.attempt().flatMap(AttemptRecord::stop).isPresent();
    }

    private static Optional<TaskRecord> findRecorded(
            AgentSession agent, TaskAttempt held, ShardState state) {
        return state.task(held.task())
                .filter(task -> task.isAt(held.attempt()))
                .filter(task -> task.attempt().filter(agent::hosts).isPresent());
    }
}
