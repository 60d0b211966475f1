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

/** A process that runs a real owner against the fake log; it can be paused and killed. */
final class SimulatedOwner {
    static final long STEP_MS = 50;

    private final ProcessId mProcess;
    private final TestScheduler mScheduler;
    private final FakeLog mLog;
    private final Random mRandom;
    private final OwnerSettings mSettings;
    private final PlacementPolicy mPolicy;
    private final Deque<ShardEvent> mInbox = new ArrayDeque<>();
    private Links mLinks = (agent, message) -> {};
    private Optional<ShardManifest> mManifest = Optional.empty();
    private ShardOwner mOwner;
    private long mIncarnation;
    private boolean mReading;
    boolean mPaused;
    boolean mLogCut;

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
        mOwner = build();
    }

    private ShardOwner build() {
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

    void links(Links links) {
        mLinks = links;
    }

    ProcessId process() {
        return mProcess;
    }

    ShardOwner owner() {
        return mOwner;
    }

    void restart() {
        mInbox.clear();
        mReading = false;
        mOwner = build();
        mManifest.ifPresent(manifest -> deliver(new ShardEvent.ManifestChanged(manifest)));
    }

    void manifest(ShardManifest manifest) {
        mManifest = Optional.of(manifest);
        deliver(new ShardEvent.ManifestChanged(manifest));
    }

    ShardManifest manifest() {
        return mManifest.orElseThrow();
    }

    /** Events that arrive during a pause are handled after it. */
    void deliver(ShardEvent event) {
        mInbox.add(event);
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
        while (!mPaused && !mInbox.isEmpty()) {
            handle(mInbox.remove());
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
        later(delay(), () -> respond(from, requestedMs, incarnation));
    }

    private void respond(long from, long requestedMs, long incarnation) {
        ShardEvent event = answer(from, requestedMs);
        later(
                delay(),
                () -> {
                    if (incarnation == mIncarnation) {
                        deliver(event);
                    }
                });
    }

    private ShardEvent answer(long from, long requestedMs) {
        if (mLog.mDown || mLogCut) {
            return new ShardEvent.LogReadFailed();
        }
        if (mLog.isTruncatedAt(from)) {
            return new ShardEvent.LogTruncated(mLog.firstOffset());
        }
        LogPage page = mLog.read(from);
        return new ShardEvent.LogRead(page, FakeLog.LIMIT, requestedMs);
    }

    private void perform(OwnerAction effect) {
        if (effect instanceof OwnerAction.SendMessage send) {
            mLinks.send(send.agent(), send.message());
        } else if (effect instanceof OwnerAction.AppendRecord append) {
            long delayMs = mLog.mSlow ? mRandom.nextInt(9_000) : delay();
            later(delayMs, () -> append(append));
        }
    }

    private void append(OwnerAction.AppendRecord append) {
        if (mLog.mDown || mLogCut) {
            later(1_000, () -> deliver(new ShardEvent.AppendFailed(append.token())));
            return;
        }
        mLog.append(append.payload(), nowMs());
        if (mLog.mLosesAnswers) {
            deliver(new ShardEvent.AppendFailed(append.token()));
        }
    }

    private long delay() {
        return 1L + mRandom.nextInt(15);
    }

    private void later(long delayMs, Runnable action) {
        Disposable unused = mScheduler.scheduleDirect(action, delayMs, TimeUnit.MILLISECONDS);
    }

    private long nowMs() {
        return mScheduler.now(TimeUnit.MILLISECONDS);
    }

    /** Connections to agents. */
    interface Links {
        void send(ProcessId agent, Message message);
    }
}
