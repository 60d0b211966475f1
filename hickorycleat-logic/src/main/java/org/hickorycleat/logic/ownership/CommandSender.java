package org.hickorycleat.logic.ownership;

import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;
import org.hickorycleat.logic.lease.LeaseExpiryTracker;
import org.hickorycleat.model.identifier.AttemptNumber;
import org.hickorycleat.model.identifier.Epoch;
import org.hickorycleat.model.identifier.ShardNumber;
import org.hickorycleat.model.identifier.TaskId;
import org.hickorycleat.model.message.CheckpointTask;
import org.hickorycleat.model.message.Fence;
import org.hickorycleat.model.message.LeaseGrant;
import org.hickorycleat.model.message.Message;
import org.hickorycleat.model.message.StartTask;
import org.hickorycleat.model.message.StopTask;
import org.hickorycleat.model.message.TaskAttempt;
import org.hickorycleat.model.message.ThrottleTask;

/** Sends commands for recorded decisions to agents. */
final class CommandSender {
    private final ShardNumber mShard;
    private final long mLeaseMs;
    private final LeaseExpiryTracker mLeaseExpiries;
    private final Consumer<OwnerAction> mActions;
    private Epoch mEpoch = new Epoch(-1);

    CommandSender(
            ShardNumber shard,
            long leaseMs,
            LeaseExpiryTracker leaseExpiries,
            Consumer<OwnerAction> actions) {
        mShard = shard;
        mLeaseMs = leaseMs;
        mLeaseExpiries = leaseExpiries;
        mActions = actions;
    }

    void setEpoch(Epoch epoch) {
        mEpoch = epoch;
    }

    void fence(AgentSession agent) {
        send(agent, new Fence(mShard, mEpoch));
    }

    /**
     * Sends the start of a recorded attempt. The start refers to a lease request and grants a
     * lease.
     */
    void start(AgentSession agent, TaskRecord task, long nowMs) {
        Optional<AttemptRecord> recorded = task.attempt();
        if (recorded.isEmpty() || !agent.isReadyForStart() || !agent.hosts(recorded.get())) {
            return;
        }
        AttemptNumber attempt = recorded.get().number();
        mLeaseExpiries.recordGrant(task.task(), attempt, nowMs);
        send(
                agent,
                new StartTask(
                        mShard,
                        mEpoch,
                        task.task(),
                        attempt,
                        task.specification().resources(),
                        agent.leaseRequestNumber().getAsLong(),
                        mLeaseMs,
                        task.specification().estimatedMs(),
                        task.checkpoint().map(Checkpoint::name)));
    }

    /** Stops an attempt; a task that will resume is checkpointed first. */
    void stop(AgentSession agent, TaskRecord task, AttemptRecord attempt) {
        boolean resumed = attempt.stop().equals(Optional.of(StopCause.EVICTED));
        if (resumed && task.specification().checkpointable()) {
            checkpoint(agent, task.task(), attempt.number());
        }
        stop(agent, task.task(), attempt.number());
    }

    void stop(AgentSession agent, TaskId task, AttemptNumber attempt) {
        if (agent.isFenced()) {
            send(agent, new StopTask(mShard, mEpoch, task, attempt));
        }
    }

    void checkpoint(AgentSession agent, TaskId task, AttemptNumber attempt) {
        if (agent.isFenced()) {
            send(agent, new CheckpointTask(mShard, mEpoch, task, attempt));
        }
    }

    void throttle(AgentSession agent, TaskId task, AttemptNumber attempt, int permille) {
        if (agent.isFenced()) {
            send(agent, new ThrottleTask(mShard, mEpoch, task, attempt, permille));
        }
    }

    void grant(AgentSession agent, long requestNumber, List<TaskAttempt> tasks, long nowMs) {
        tasks.forEach(held -> mLeaseExpiries.recordGrant(held.task(), held.attempt(), nowMs));
        send(agent, new LeaseGrant(mShard, mEpoch, requestNumber, tasks, mLeaseMs));
    }

    private void send(AgentSession agent, Message message) {
        mActions.accept(new OwnerAction.SendMessage(agent.agent(), message));
    }
}
