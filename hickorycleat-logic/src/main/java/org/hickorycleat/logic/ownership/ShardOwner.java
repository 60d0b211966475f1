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
 * Owns a placement shard, or waits to own it.
 *
 * <p>It performs nothing itself: it takes events and returns effects. It is not safe for use by
 * several threads; the caller delivers one event at a time and performs the effects in order.
 */
public final class ShardOwner {
    /** A fence is repeated until the agent confirms it. */
    private static final long FENCE_INTERVAL_MS = 1_000;

    /** Interval of planning while nothing happens; release times and lease expiry need it. */
    private static final long PLAN_INTERVAL_MS = 250;

    private final ShardNumber mShard;
    private final OwnerIdentity mSelf;
    private final OwnerSettings mSettings;
    private final Scheduler mScheduler;
    private final InstantSource mWallClock;
    private final ShardReplay mReplay = new ShardReplay();
    private final LogWatch mLog = new LogWatch();
    private final AgentDirectory mAgents = new AgentDirectory();
    private final AttemptTracker mTracker;
    private final CommandSender mCommands;
    private final AgentMessages mMessages;
    private final DecisionPlanner mPlanner;
    private final RecordAppender mAppender;
    private Optional<ShardManifest> mManifest = Optional.empty();
    private Optional<Epoch> mActingEpoch = Optional.empty();
    private List<OwnerAction> mEffects = new ArrayList<>();
    private long mOwnedSinceMs;
    private long mFencesSentMs;
    private long mPlannedMs = Long.MIN_VALUE / 2;
    private boolean mChanged;
    private boolean mSkipped;
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
                        mTracker.ledger(),
                        effect -> mEffects.add(effect));
        mMessages = new AgentMessages(mSettings, mTracker, mCommands);
        mPlanner = new DecisionPlanner(builder.policy(), mAgents, mTracker, mSettings);
        mAppender =
                new RecordAppender(
                        new StreamName("placement-" + mShard),
                        mSelf,
                        mSettings,
                        effect -> mEffects.add(effect));
    }

    /** Returns the offset to read the stream from. */
    public long nextOffset() {
        return mReplay.nextOffset();
    }

    /** Handles an event and returns what to do about it, in order. */
    public List<OwnerAction> onEvent(ShardEvent event) {
        mEffects = new ArrayList<>();
        handle(event);
        mChanged |= isNews(event);
        advance();
        return List.copyOf(mEffects);
    }

    /** Returns a summary of the shard. */
    public ShardDump dump() {
        long placed = mReplay.state().tasks().stream().filter(t -> t.attempt().isPresent()).count();
        return new ShardDump(
                mShard,
                mReplay.isStateKnown(),
                acting(),
                mReplay.epoch(),
                mReplay.owner(),
                mReplay.nextOffset(),
                mLog.readable(nowMs()),
                mAppender.batches().outstanding().map(b -> b.decisions().size()).orElse(0),
                mReplay.state().tasks().size() - placed,
                placed,
                mReplay.state().endedCount(),
                mAgents.sessions().stream().filter(AgentSession::isFenced).count(),
                mPlanner.dropped(),
                mReplay.malformedRecords(),
                mReplay.ineffectiveDecisions());
    }

    /** Returns what is known of a task. */
    public TaskExplanation explain(TaskId id) {
        Optional<TaskRecord> task = mReplay.state().task(id);
        Optional<TaskResult> ending = mReplay.state().taskResult(id);
        Optional<AttemptRecord> attempt = task.flatMap(TaskRecord::attempt);
        boolean confirmed =
                attempt.map(a -> mTracker.observation(id, a.number()).confirmed()).orElse(false);
        long expiryMs =
                attempt.map(a -> mTracker.ledger().expiryMs(id, a.number())).orElse(Long.MAX_VALUE);
        return new TaskExplanation(
                id,
                task,
                ending,
                confirmed,
                expiryMs == Long.MAX_VALUE
                        ? OptionalLong.empty()
                        : OptionalLong.of(expiryMs - nowMs()),
                summary(task, ending, confirmed));
    }

    private static String summary(
            Optional<TaskRecord> task, Optional<TaskResult> ending, boolean confirmed) {
        if (ending.isPresent()) {
            return "ended " + ending.get().outcome() + " " + ending.get().reason();
        }
        if (task.isEmpty()) {
            return "not accepted by this shard";
        }
        return task.get()
                .attempt()
                .map(a -> "attempt " + a.number() + " on worker " + a.worker())
                .map(text -> confirmed ? text + " runs" : text + " is not confirmed")
                .orElse("pending after " + task.get().lastAttempt() + " attempts");
    }

    /** Planning reads every task, so what arrives all the time waits for the next interval. */
    private static boolean isNews(ShardEvent event) {
        if (event instanceof ShardEvent.LogRead read) {
            return !read.page().records().isEmpty();
        }
        if (event instanceof ShardEvent.MessageReceived received) {
            return received.message() instanceof TaskReport report
                    && AttemptTracker.isEnd(report.state());
        }
        return !(event instanceof ShardEvent.Tick || event instanceof ShardEvent.WorkerReported);
    }

    private void handle(ShardEvent event) {
        if (event instanceof ShardEvent.LogRead read) {
            logRead(read);
        } else if (event instanceof ShardEvent.LogReadFailed) {
            mLog.failed();
        } else if (event instanceof ShardEvent.LogTruncated truncated) {
            mReplay.restart(truncated.firstOffset());
            mSkipped = true;
        } else if (event instanceof ShardEvent.AppendFailed failed) {
            mAppender.failed(failed.token(), nowMs());
        } else if (event instanceof ShardEvent.AgentConnected connected) {
            mAgents.connected(connected);
            mAgents.agent(connected.agent()).filter(agent -> acting()).ifPresent(mCommands::fence);
        } else if (event instanceof ShardEvent.AgentDisconnected lost) {
            mAgents.agent(lost.agent()).ifPresent(agent -> agent.disconnected(nowMs()));
        } else if (event instanceof ShardEvent.WorkerReported reported) {
            mAgents.agent(reported.agent()).ifPresent(agent -> agent.reported(reported.worker()));
        } else if (event instanceof ShardEvent.MessageReceived received) {
            mAgents.agent(received.agent())
                    .filter(agent -> acting() && agent.isConnected())
                    .ifPresent(agent -> message(agent, received.message()));
        } else if (event instanceof ShardEvent.ManifestChanged changed) {
            mManifest = Optional.of(changed.manifest());
        } else if (event instanceof ShardEvent.Draining) {
            mDraining = true;
        }
    }

    private boolean acting() {
        return mReplay.isStateKnown() && mActingEpoch.equals(Optional.of(mReplay.epoch()));
    }

    private void logRead(ShardEvent.LogRead read) {
        List<ReplayStep> steps = mReplay.accept(read.page().records());
        mLog.read(read.page().records().size() < read.limit(), read.requestedMs(), nowMs());
        boolean ownerSign =
                steps.stream()
                        .anyMatch(
                                step ->
                                        step.result() == ReplayStep.Result.APPLIED
                                                && !(step.content()
                                                        instanceof ShardRecord.Snapshot));
        if (ownerSign) {
            mLog.ownerSign(nowMs());
        }
        updateOwnership();
        steps.forEach(this::readBack);
    }

    private void updateOwnership() {
        if (!mReplay.isStateKnown()) {
            return;
        }
        if (mActingEpoch.equals(Optional.of(mReplay.epoch()))) {
            coverSkippedStarts();
            return;
        }
        mActingEpoch = Optional.empty();
        mTracker.clear();
        if (mReplay.owner().equals(Optional.of(mSelf))) {
            becomeOwner();
        }
    }

    private void becomeOwner() {
        long nowMs = nowMs();
        mActingEpoch = Optional.of(mReplay.epoch());
        mOwnedSinceMs = nowMs;
        mCommands.epoch(mReplay.epoch());
        mAppender.epoch(mReplay.epoch(), mReplay.snapshot().lastSequence());
        for (TaskRecord task : mReplay.state().tasks()) {
            task.attempt()
                    .ifPresent(
                            attempt ->
                                    mTracker.ledger()
                                            .recordPreviousOwnerGrants(
                                                    task.task(), attempt.number(), nowMs));
        }
        mAgents.sessions().forEach(AgentSession::unfence);
        sendFences(nowMs);
    }

    /**
     * Starts of this epoch that a snapshot covered were not seen one by one; they count as sent.
     */
    private void coverSkippedStarts() {
        if (mSkipped) {
            mSkipped = false;
            for (TaskRecord task : mReplay.state().tasks()) {
                task.attempt()
                        .ifPresent(
                                attempt ->
                                        mTracker.ledger()
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

    private void readBack(ReplayStep step) {
        if (!acting() || step.result() == ReplayStep.Result.INVALID) {
            return;
        }
        if (step.content() instanceof ShardRecord.Renewal) {
            mAppender.renewalReadBack();
        }
        if (step.content() instanceof ShardRecord.DecisionBatch batch
                && mActingEpoch.equals(Optional.of(batch.epoch()))) {
            mAppender.batches().readBack(batch.sequence());
            if (step.result() == ReplayStep.Result.APPLIED) {
                batch.decisions().forEach(this::committed);
            }
        }
    }

    /** Acts on a decision that is recorded in this epoch; the state already reflects it. */
    private void committed(ShardDecision decision) {
        if (decision instanceof ShardDecision.Start start) {
            mTracker.ledger().recordGrant(start.task(), start.attempt(), nowMs());
            command(start.task(), start.attempt());
        } else if (decision instanceof ShardDecision.Stop stop) {
            command(stop.task(), stop.attempt());
        } else if (decision instanceof ShardDecision.Throttle throttle) {
            throttle(throttle);
        } else if (decision instanceof ShardDecision.EndAttempt end) {
            mTracker.forget(end.task());
        }
    }

    private void command(TaskId id, AttemptNumber number) {
        Optional<TaskRecord> task = mReplay.state().task(id).filter(t -> t.isAt(number));
        Optional<AgentSession> agent =
                task.flatMap(TaskRecord::attempt).flatMap(a -> mAgents.worker(a.worker()));
        if (task.isPresent() && agent.isPresent()) {
            mMessages.command(agent.get(), task.get(), nowMs());
        }
    }

    private void throttle(ShardDecision.Throttle throttle) {
        mReplay.state()
                .task(throttle.task())
                .flatMap(TaskRecord::attempt)
                .flatMap(attempt -> mAgents.worker(attempt.worker()))
                .ifPresent(
                        agent ->
                                mCommands.throttle(
                                        agent,
                                        throttle.task(),
                                        throttle.attempt(),
                                        throttle.permille()));
    }

    private void message(AgentSession agent, Message message) {
        if (message instanceof Fence fence
                && fence.shard().equals(mShard)
                && mActingEpoch.equals(Optional.of(fence.epoch()))) {
            mMessages.fenced(agent, mReplay.state(), nowMs());
        } else if (message instanceof TaskReport report && report.shard().equals(mShard)) {
            mMessages.reported(agent, report, mReplay.state(), mWallClock.millis());
        } else if (message instanceof LeaseRequest request
                && request.shard().equals(mShard)
                && agent.isFenced()
                && mayGrant()) {
            mMessages.leaseRequested(agent, request, mReplay.state(), moment());
        }
    }

    /** Without the log, a newer owner may exist; it waits for this limit plus one lease. */
    private boolean mayGrant() {
        return nowMs() - mLog.currentAsOfMs() <= mSettings.lease().renewWithoutLogLimitMs();
    }

    private void advance() {
        if (!mReplay.isStateKnown() || mDraining) {
            return;
        }
        long nowMs = nowMs();
        if (acting()) {
            act(nowMs);
        } else if (claimDue(nowMs)) {
            mAppender.claim(mReplay.epoch(), nowMs);
        }
    }

    /** A shard that was never owned is claimed at once. */
    private boolean claimDue(long nowMs) {
        boolean unowned = mReplay.owner().isEmpty() && mLog.atEnd(nowMs);
        return unowned || mLog.ownerSilentFor(mSettings.claimAfterMs(), nowMs);
    }

    private void act(long nowMs) {
        mAppender.renew(nowMs);
        if (nowMs - mFencesSentMs >= FENCE_INTERVAL_MS) {
            sendFences(nowMs);
        }
        mAppender.repeatBatch(mLog, nowMs);
        if (mLog.atEnd(nowMs) && mAppender.batches().ready(nowMs) && planDue(nowMs)) {
            mChanged = false;
            mPlannedMs = nowMs;
            List<ShardDecision> decisions = mPlanner.plan(mReplay.state(), mManifest, moment());
            if (!decisions.isEmpty()) {
                mAppender.batch(decisions, nowMs);
            }
        }
        if (mLog.atEnd(nowMs)) {
            mAppender.snapshot(mReplay, nowMs);
        }
    }

    /** Many events arrive between two batches; planning costs time for every task of the shard. */
    private boolean planDue(long nowMs) {
        long intervalMs = mChanged ? mSettings.batchIntervalMs() : PLAN_INTERVAL_MS;
        return nowMs - mPlannedMs >= intervalMs;
    }

    private DecisionPlanner.Moment moment() {
        return new DecisionPlanner.Moment(nowMs(), mWallClock.millis(), mOwnedSinceMs);
    }

    private long nowMs() {
        return mScheduler.now(TimeUnit.MILLISECONDS);
    }

    /** Starts to build an owner. */
    public static ShardOwnerBuilder builder(
            ShardNumber shard, OwnerIdentity self, PlacementPolicy policy) {
        return new ShardOwnerBuilder(shard, self, policy);
    }
}
