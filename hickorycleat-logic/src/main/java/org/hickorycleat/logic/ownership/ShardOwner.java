package org.hickorycleat.logic.ownership;

import io.reactivex.rxjava3.core.Scheduler;
import java.time.InstantSource;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;
import org.hickorycleat.logic.placement.PlacementPolicy;
import org.hickorycleat.model.identifier.AttemptNumber;
import org.hickorycleat.model.identifier.Epoch;
import org.hickorycleat.model.identifier.ShardNumber;
import org.hickorycleat.model.identifier.StreamName;
import org.hickorycleat.model.identifier.TaskId;
import org.hickorycleat.model.message.Fence;
import org.hickorycleat.model.message.LeaseRequest;
import org.hickorycleat.model.message.Message;
import org.hickorycleat.model.message.TaskReport;

/**
 * Owns a placement shard, or is a standby that claims it when its owner fails.
 *
 * <p>It performs no I/O: it handles events and returns actions. Not thread-safe: the caller
 * delivers one event at a time and performs the actions in order.
 */
public final class ShardOwner {
    /** Interval at which a fence is resent until the agent confirms it. */
    private static final long FENCE_INTERVAL_MS = 1_000;

    /** Planning interval in the absence of events; needed for release times and lease expiry. */
    private static final long PLAN_INTERVAL_MS = 250;

    private final ShardNumber mShard;
    private final OwnerIdentity mSelf;
    private final OwnerSettings mSettings;
    private final Scheduler mScheduler;
    private final InstantSource mWallClock;
    private final ShardReplay mReplay = new ShardReplay();
    private final LogFreshness mLogFreshness = new LogFreshness();
    private final AgentDirectory mAgents = new AgentDirectory();
    private final AttemptTracker mTracker;
    private final CommandSender mCommands;
    private final AgentMessageHandler mMessageHandler;
    private final DecisionPlanner mPlanner;
    private final RecordAppender mAppender;
    private Optional<ShardManifest> mManifest = Optional.empty();
    private Optional<Epoch> mOwnedEpoch = Optional.empty();
    private List<OwnerAction> mActions = new ArrayList<>();
    private long mOwnedSinceMs;
    private long mFencesSentMs;
    private long mPlannedMs = Long.MIN_VALUE / 2;
    private boolean mPlanningRequested;
    private boolean mTruncated;
    private boolean mDraining;

    ShardOwner(ShardOwnerBuilder builder) {
        mShard = builder.shard();
        mSelf = builder.self();
        mSettings = builder.settings();
        mScheduler = builder.scheduler();
        mWallClock = builder.wallClock();
        mTracker = new AttemptTracker(mSettings.lease());
        mCommands =
                new CommandSender(
                        mShard,
                        mSettings.lease().leaseMs(),
                        mTracker.leaseExpiries(),
                        action -> mActions.add(action));
        mMessageHandler = new AgentMessageHandler(mSettings, mTracker, mCommands);
        mPlanner = new DecisionPlanner(builder.policy(), mAgents, mTracker, mSettings);
        mAppender =
                new RecordAppender(
                        new StreamName("placement-" + mShard),
                        mSelf,
                        mSettings,
                        action -> mActions.add(action));
    }

    /** Returns the offset of the stream to read from next. */
    public long nextOffset() {
        return mReplay.nextOffset();
    }

    /** Handles an event and returns the resulting actions in order. */
    public List<OwnerAction> onEvent(ShardEvent event) {
        mActions = new ArrayList<>();
        handle(event);
        mPlanningRequested |= requestsPlanning(event);
        claimOrAct();
        return List.copyOf(mActions);
    }

    /** Returns a summary of the shard. */
    public ShardDump dump() {
        long placed =
                mReplay.state().tasks().stream().filter(task -> task.attempt().isPresent()).count();
        return new ShardDump(
                mShard,
                mReplay.isStateKnown(),
                isOwner(),
                mReplay.epoch(),
                mReplay.owner(),
                mReplay.nextOffset(),
                mLogFreshness.readable(nowMs()),
                mAppender.batches().outstanding().map(batch -> batch.decisions().size()).orElse(0),
                mReplay.state().tasks().size() - placed,
                placed,
                mReplay.state().endedCount(),
                mAgents.sessions().stream().filter(AgentSession::isFenced).count(),
                mPlanner.droppedDecisions(),
                mReplay.malformedRecords(),
                mReplay.ineffectiveDecisions());
    }

    /** Returns the known state of a task. */
    public TaskExplanation explain(TaskId id) {
        Optional<TaskRecord> task = mReplay.state().task(id);
        Optional<TaskResult> result = mReplay.state().taskResult(id);
        Optional<AttemptRecord> attempt = task.flatMap(TaskRecord::attempt);
        boolean confirmed =
                attempt.map(current -> mTracker.observation(id, current.number()).confirmed())
                        .orElse(false);
        long expiryMs =
                attempt.map(current -> mTracker.leaseExpiries().expiryMs(id, current.number()))
                        .orElse(Long.MAX_VALUE);
        return new TaskExplanation(
                id,
                task,
                result,
                confirmed,
                expiryMs == Long.MAX_VALUE
                        ? OptionalLong.empty()
                        : OptionalLong.of(expiryMs - nowMs()),
                summary(task, result, confirmed));
    }

    private static String summary(
            Optional<TaskRecord> task, Optional<TaskResult> result, boolean confirmed) {
        if (result.isPresent()) {
            return "ended " + result.get().outcome() + " " + result.get().reason();
        }
        if (task.isEmpty()) {
            return "not accepted by this shard";
        }
        return task.get()
                .attempt()
                .map(attempt -> "attempt " + attempt.number() + " on worker " + attempt.worker())
                .map(text -> confirmed ? text + " runs" : text + " is not confirmed")
                .orElse("pending after " + task.get().lastAttempt() + " attempts");
    }

    /**
     * Returns whether an event requests planning. Planning reads every task, so frequent events
     * wait for the next interval.
     */
    private static boolean requestsPlanning(ShardEvent event) {
        if (event instanceof ShardEvent.LogRead read) {
            return !read.page().records().isEmpty();
        }
        if (event instanceof ShardEvent.MessageReceived received) {
            return received.message() instanceof TaskReport report
                    && AttemptTracker.isTerminal(report.state());
        }
        return !(event instanceof ShardEvent.Tick || event instanceof ShardEvent.WorkerReported);
    }

    private void handle(ShardEvent event) {
        if (event instanceof ShardEvent.LogRead read) {
            onLogRead(read);
        } else if (event instanceof ShardEvent.LogReadFailed) {
            mLogFreshness.onReadFailed();
        } else if (event instanceof ShardEvent.LogTruncated truncated) {
            mReplay.restart(truncated.firstOffset());
            mTruncated = true;
        } else if (event instanceof ShardEvent.AppendFailed failed) {
            mAppender.onAppendFailed(failed.token(), nowMs());
        } else if (event instanceof ShardEvent.AgentConnected connected) {
            mAgents.onAgentConnected(connected);
            mAgents.findByAgent(connected.agent())
                    .filter(agent -> isOwner())
                    .ifPresent(mCommands::fence);
        } else if (event instanceof ShardEvent.AgentDisconnected disconnected) {
            mAgents.findByAgent(disconnected.agent())
                    .ifPresent(agent -> agent.onDisconnected(nowMs()));
        } else if (event instanceof ShardEvent.WorkerReported reported) {
            mAgents.findByAgent(reported.agent())
                    .ifPresent(agent -> agent.onWorkerReported(reported.worker()));
        } else if (event instanceof ShardEvent.MessageReceived received) {
            mAgents.findByAgent(received.agent())
                    .filter(agent -> isOwner() && agent.isConnected())
                    .ifPresent(agent -> onMessage(agent, received.message()));
        } else if (event instanceof ShardEvent.ManifestChanged changed) {
            mManifest = Optional.of(changed.manifest());
        } else if (event instanceof ShardEvent.Draining) {
            mDraining = true;
        }
    }

    private boolean isOwner() {
        return mReplay.isStateKnown() && mOwnedEpoch.equals(Optional.of(mReplay.epoch()));
    }

    private void onLogRead(ShardEvent.LogRead read) {
        List<ReplayStep> steps = mReplay.accept(read.page().records());
        mLogFreshness.onRead(
                read.page().records().size() < read.limit(), read.requestedMs(), nowMs());
        boolean ownerActive =
                steps.stream()
                        .anyMatch(
                                step ->
                                        step.result() == ReplayStep.Result.APPLIED
                                                && !(step.content()
                                                        instanceof ShardRecord.Snapshot));
        if (ownerActive) {
            mLogFreshness.onOwnerActivity(nowMs());
        }
        updateOwnership();
        steps.forEach(this::onReadBack);
    }

    private void updateOwnership() {
        if (!mReplay.isStateKnown()) {
            return;
        }
        if (mOwnedEpoch.equals(Optional.of(mReplay.epoch()))) {
            recordTruncatedStarts();
            return;
        }
        mOwnedEpoch = Optional.empty();
        mTracker.clear();
        if (mReplay.owner().equals(Optional.of(mSelf))) {
            becomeOwner();
        }
    }

    private void becomeOwner() {
        long nowMs = nowMs();
        mOwnedEpoch = Optional.of(mReplay.epoch());
        mOwnedSinceMs = nowMs;
        mCommands.setEpoch(mReplay.epoch());
        mAppender.startEpoch(mReplay.epoch(), mReplay.snapshot().lastSequence());
        for (TaskRecord task : mReplay.state().tasks()) {
            task.attempt()
                    .ifPresent(
                            attempt ->
                                    mTracker.leaseExpiries()
                                            .recordPreviousOwnerGrants(
                                                    task.task(), attempt.number(), nowMs));
        }
        mAgents.sessions().forEach(AgentSession::clearFence);
        sendFences(nowMs);
    }

    /**
     * Records a lease for each attempt after a truncation of the log. Starts of this epoch that
     * were replayed only as part of a snapshot count as sent.
     */
    private void recordTruncatedStarts() {
        if (mTruncated) {
            mTruncated = false;
            for (TaskRecord task : mReplay.state().tasks()) {
                task.attempt()
                        .ifPresent(
                                attempt ->
                                        mTracker.leaseExpiries()
                                                .recordGrantIfAbsent(
                                                        task.task(), attempt.number(), nowMs()));
            }
        }
    }

    private void sendFences(long nowMs) {
        mFencesSentMs = nowMs;
        mAgents.sessions().stream()
                .filter(agent -> agent.isConnected() && !agent.isFenced())
                .forEach(mCommands::fence);
    }

    private void onReadBack(ReplayStep step) {
        if (!isOwner() || step.result() == ReplayStep.Result.INVALID) {
            return;
        }
        if (step.content() instanceof ShardRecord.Renewal) {
            mAppender.onRenewalReadBack();
        }
        if (step.content() instanceof ShardRecord.DecisionBatch batch
                && mOwnedEpoch.equals(Optional.of(batch.epoch()))) {
            mAppender.batches().onReadBack(batch.sequence());
            if (step.result() == ReplayStep.Result.APPLIED) {
                batch.decisions().forEach(this::onCommitted);
            }
        }
    }

    /** Executes a decision that was recorded in this epoch; the state already reflects it. */
    private void onCommitted(ShardDecision decision) {
        if (decision instanceof ShardDecision.Start start) {
            mTracker.leaseExpiries().recordGrant(start.task(), start.attempt(), nowMs());
            sendCommand(start.task(), start.attempt());
        } else if (decision instanceof ShardDecision.Stop stop) {
            sendCommand(stop.task(), stop.attempt());
        } else if (decision instanceof ShardDecision.Throttle throttle) {
            throttle(throttle);
        } else if (decision instanceof ShardDecision.EndAttempt end) {
            mTracker.remove(end.task());
        }
    }

    private void sendCommand(TaskId id, AttemptNumber number) {
        Optional<TaskRecord> task = mReplay.state().task(id).filter(known -> known.isAt(number));
        Optional<AgentSession> agent =
                task.flatMap(TaskRecord::attempt)
                        .flatMap(attempt -> mAgents.findByWorker(attempt.worker()));
        if (task.isPresent() && agent.isPresent()) {
            mMessageHandler.sendCommand(agent.get(), task.get(), nowMs());
        }
    }

    private void throttle(ShardDecision.Throttle throttle) {
        mReplay.state()
                .task(throttle.task())
                .flatMap(TaskRecord::attempt)
                .flatMap(attempt -> mAgents.findByWorker(attempt.worker()))
                .ifPresent(
                        agent ->
                                mCommands.throttle(
                                        agent,
                                        throttle.task(),
                                        throttle.attempt(),
                                        throttle.permille()));
    }

    private void onMessage(AgentSession agent, Message message) {
        if (message instanceof Fence fence
                && fence.shard().equals(mShard)
                && mOwnedEpoch.equals(Optional.of(fence.epoch()))) {
            mMessageHandler.onFenceAcknowledged(agent, mReplay.state(), nowMs());
        } else if (message instanceof TaskReport report && report.shard().equals(mShard)) {
            mMessageHandler.onTaskReport(agent, report, mReplay.state(), mWallClock.millis());
        } else if (message instanceof LeaseRequest request
                && request.shard().equals(mShard)
                && agent.isFenced()
                && canGrantLeases()) {
            mMessageHandler.onLeaseRequest(agent, request, mReplay.state(), planningTime());
        }
    }

    /**
     * Returns whether leases may be granted. While the log cannot be read, the next owner may
     * exist; it waits for this limit plus one lease before it treats earlier leases as expired.
     */
    private boolean canGrantLeases() {
        return nowMs() - mLogFreshness.currentAsOfMs()
                <= mSettings.lease().grantWithoutLogLimitMs();
    }

    private void claimOrAct() {
        if (!mReplay.isStateKnown() || mDraining) {
            return;
        }
        long nowMs = nowMs();
        if (isOwner()) {
            actAsOwner(nowMs);
        } else if (isClaimDue(nowMs)) {
            mAppender.appendClaim(mReplay.epoch(), nowMs);
        }
    }

    /** Returns whether to claim the shard. A shard that was never owned is claimed immediately. */
    private boolean isClaimDue(long nowMs) {
        boolean unowned = mReplay.owner().isEmpty() && mLogFreshness.isAtEnd(nowMs);
        return unowned || mLogFreshness.isOwnerInactiveFor(mSettings.claimTimeoutMs(), nowMs);
    }

    private void actAsOwner(long nowMs) {
        mAppender.renewIfDue(nowMs);
        if (nowMs - mFencesSentMs >= FENCE_INTERVAL_MS) {
            sendFences(nowMs);
        }
        mAppender.retryBatchIfDue(mLogFreshness, nowMs);
        if (mLogFreshness.isAtEnd(nowMs)
                && mAppender.batches().isReady(nowMs)
                && isPlanningDue(nowMs)) {
            mPlanningRequested = false;
            mPlannedMs = nowMs;
            List<ShardDecision> decisions =
                    mPlanner.plan(mReplay.state(), mManifest, planningTime());
            if (!decisions.isEmpty()) {
                mAppender.appendBatch(decisions, nowMs);
            }
        }
        if (mLogFreshness.isAtEnd(nowMs)) {
            mAppender.appendSnapshotIfDue(mReplay, nowMs);
        }
    }

    /**
     * Returns whether planning is due. Planning takes time for every task of the shard, so events
     * that arrive between two batches are planned together.
     */
    private boolean isPlanningDue(long nowMs) {
        long intervalMs = mPlanningRequested ? mSettings.batchIntervalMs() : PLAN_INTERVAL_MS;
        return nowMs - mPlannedMs >= intervalMs;
    }

    private DecisionPlanner.PlanningTime planningTime() {
        return new DecisionPlanner.PlanningTime(nowMs(), mWallClock.millis(), mOwnedSinceMs);
    }

    private long nowMs() {
        return mScheduler.now(TimeUnit.MILLISECONDS);
    }

    /** Returns a builder for an owner. */
    public static ShardOwnerBuilder builder(
            ShardNumber shard, OwnerIdentity self, PlacementPolicy policy) {
        return new ShardOwnerBuilder(shard, self, policy);
    }
}
