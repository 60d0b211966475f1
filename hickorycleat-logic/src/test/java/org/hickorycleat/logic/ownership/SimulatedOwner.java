package org.hickorycleat.logic.ownership;

import io.reactivex.rxjava3.disposables.Disposable;
import io.reactivex.rxjava3.schedulers.TestScheduler;
import java.time.Instant;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Optional;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import org.hickorycleat.logic.placement.PlacementPolicy;
import org.hickorycleat.logic.port.LogPage;
import org.hickorycleat.model.identifier.Incarnation;
import org.hickorycleat.model.identifier.ProcessId;
import org.hickorycleat.model.identifier.ShardNumber;
import org.hickorycleat.model.message.Message;

/**
 * Simulated process that runs a real owner against the fake log and can be paused and restarted.
 */
final class SimulatedOwner {
    static final long STEP_MS = 50;

    private final ProcessId mProcess;
    private final TestScheduler mScheduler;
    private final FakeLog mLog;
    private final Random mRandom;
    private final OwnerSettings mSettings;
    private final PlacementPolicy mPolicy;
    private final Deque<ShardEvent> mPendingEvents = new ArrayDeque<>();
    private AgentSender mAgentSender = (agent, message) -> {};
    private Optional<ShardManifest> mManifest = Optional.empty();
    private ShardOwner mOwner;
    private long mIncarnation;
    private boolean mReading;
    boolean mPaused;
    boolean mLogDisconnected;

    SimulatedOwner(
            String name,
            TestScheduler scheduler,
            FakeLog log,
            Random random,
            OwnerSettings settings,
            PlacementPolicy policy) {
        mProcess = new ProcessId(name);
        mScheduler = scheduler;
        mLog = log;
        mRandom = random;
        mSettings = settings;
        mPolicy = policy;
        mOwner = buildOwner();
    }

    private ShardOwner buildOwner() {
        mIncarnation++;
        return ShardOwner.builder(
                        new ShardNumber(0),
                        new OwnerIdentity(mProcess, new Incarnation(mIncarnation)),
                        mPolicy)
                .settings(mSettings)
                .scheduler(mScheduler)
                .wallClock(() -> Instant.ofEpochMilli(nowMs()))
                .build();
    }

    void setAgentSender(AgentSender agentSender) {
        mAgentSender = agentSender;
    }

    ProcessId process() {
        return mProcess;
    }

    ShardOwner owner() {
        return mOwner;
    }

    void restart() {
        mPendingEvents.clear();
        mReading = false;
        mOwner = buildOwner();
        mManifest.ifPresent(manifest -> deliver(new ShardEvent.ManifestChanged(manifest)));
    }

    void changeManifest(ShardManifest manifest) {
        mManifest = Optional.of(manifest);
        deliver(new ShardEvent.ManifestChanged(manifest));
    }

    ShardManifest manifest() {
        return mManifest.orElseThrow();
    }

    /** Delivers an event; events that arrive during a pause are handled after it. */
    void deliver(ShardEvent event) {
        mPendingEvents.add(event);
        drain();
    }

    void step() {
        if (mPaused) {
            return;
        }
        drain();
        read();
        handle(new ShardEvent.Tick());
    }

    private void drain() {
        while (!mPaused && !mPendingEvents.isEmpty()) {
            handle(mPendingEvents.remove());
        }
    }

    private void handle(ShardEvent event) {
        if (event instanceof ShardEvent.LogRead
                || event instanceof ShardEvent.LogReadFailed
                || event instanceof ShardEvent.LogTruncated) {
            mReading = false;
        }
        mOwner.onEvent(event).forEach(this::perform);
    }

    private void read() {
        if (mReading) {
            return;
        }
        mReading = true;
        long requestedMs = nowMs();
        long from = mOwner.nextOffset();
        long incarnation = mIncarnation;
        schedule(delay(), () -> respond(from, requestedMs, incarnation));
    }

    private void respond(long from, long requestedMs, long incarnation) {
        ShardEvent event = responseTo(from, requestedMs);
        schedule(
                delay(),
                () -> {
                    if (incarnation == mIncarnation) {
                        deliver(event);
                    }
                });
    }

    private ShardEvent responseTo(long from, long requestedMs) {
        if (mLog.mDown || mLogDisconnected) {
            return new ShardEvent.LogReadFailed();
        }
        if (mLog.isTruncatedAt(from)) {
            return new ShardEvent.LogTruncated(mLog.firstOffset());
        }
        LogPage page = mLog.read(from);
        return new ShardEvent.LogRead(page, FakeLog.PAGE_LIMIT_RECORDS, requestedMs);
    }

    private void perform(OwnerAction action) {
        if (action instanceof OwnerAction.SendMessage send) {
            mAgentSender.send(send.agent(), send.message());
        } else if (action instanceof OwnerAction.AppendRecord append) {
            long delayMs = mLog.mSlow ? mRandom.nextInt(9_000) : delay();
            schedule(delayMs, () -> append(append));
        }
    }

    private void append(OwnerAction.AppendRecord append) {
        if (mLog.mDown || mLogDisconnected) {
            schedule(1_000, () -> deliver(new ShardEvent.AppendFailed(append.token())));
            return;
        }
        mLog.append(append.payload(), nowMs());
        if (mLog.mLosesResponses) {
            deliver(new ShardEvent.AppendFailed(append.token()));
        }
    }

    private long delay() {
        return 1L + mRandom.nextInt(15);
    }

    private void schedule(long delayMs, Runnable action) {
        Disposable unused = mScheduler.scheduleDirect(action, delayMs, TimeUnit.MILLISECONDS);
    }

    private long nowMs() {
        return mScheduler.now(TimeUnit.MILLISECONDS);
    }

    /** Connections to agents. */
    interface AgentSender {
        void send(ProcessId agent, Message message);
    }
}
