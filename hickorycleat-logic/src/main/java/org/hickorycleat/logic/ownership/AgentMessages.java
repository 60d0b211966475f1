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

/** Answers the messages of agents from the recorded state. */
final class AgentMessages {
    private final OwnerSettings mSettings;
    private final AttemptTracker mTracker;
    private final CommandSender mCommands;

    AgentMessages(OwnerSettings settings, AttemptTracker tracker, CommandSender commands) {
        mSettings = settings;
        mTracker = tracker;
        mCommands = commands;
    }

    /** From now on the worker refuses older epochs, so their grants end within one lease. */
    void fenced(AgentSession agent, ShardState state, long nowMs) {
        agent.fenced();
        for (TaskRecord task : state.tasks()) {
            task.attempt()
                    .filter(agent::holds)
                    .ifPresent(
                            attempt ->
                                    mTracker.ledger()
                                            .recordFence(task.task(), attempt.number(), nowMs));
        }
    }

    /**
     * Grants the leases of recorded attempts, stops what is not recorded and starts what is
     * recorded and not held. A stopping attempt gets no lease: if its stop is never confirmed, it
     * expires.
     */
    void leaseRequested(
            AgentSession agent,
            LeaseRequest request,
            ShardState state,
            DecisionPlanner.Moment now) {
        agent.requested(request.number());
        List<TaskAttempt> granted = new ArrayList<>();
        Set<TaskId> held = new HashSet<>();
        for (TaskAttempt task : request.tasks()) {
            Optional<TaskRecord> recorded = recorded(agent, task, state);
            if (recorded.isEmpty()) {
                mCommands.stop(agent, task.task(), task.attempt());
                continue;
            }
            held.add(task.task());
            mTracker.confirmed(task.task(), task.attempt());
            if (recorded.get().attempt().flatMap(AttemptRecord::stop).isEmpty()) {
                granted.add(task);
                checkpointIfDue(agent, recorded.get(), now.wallMs());
            }
        }
        mCommands.grant(agent, request.number(), granted, now.monotonicMs());
        state.tasks().stream()
                .filter(task -> task.attempt().filter(agent::holds).isPresent())
                .filter(task -> isStopping(task) || !held.contains(task.task()))
                .forEach(task -> command(agent, task, now.monotonicMs()));
    }

    /** Records what a worker reports about the current attempt of a task. */
    void reported(AgentSession agent, TaskReport report, ShardState state, long wallMs) {
        boolean current =
                state.task(report.task())
                        .filter(task -> task.isAt(report.attempt()))
                        .flatMap(TaskRecord::attempt)
                        .filter(agent::holds)
                        .isPresent();
        if (current) {
            mTracker.reported(report, wallMs);
        }
    }

    /** Sends the start or the stop that the record of a task asks for. */
    void command(AgentSession agent, TaskRecord task, long nowMs) {
        AttemptRecord attempt = task.attempt().orElseThrow();
        if (mTracker.observation(task.task(), attempt.number()).end().isPresent()) {
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

    private static Optional<TaskRecord> recorded(
            AgentSession agent, TaskAttempt held, ShardState state) {
        return state.task(held.task())
                .filter(task -> task.isAt(held.attempt()))
                .filter(task -> task.attempt().filter(agent::holds).isPresent());
    }
}
