package org.hickorycleat.logic.ownership;

import io.reactivex.rxjava3.disposables.Disposable;
import io.reactivex.rxjava3.schedulers.TestScheduler;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import org.hickorycleat.logic.lease.LeaseManagerOutput;
import org.hickorycleat.logic.lease.LeaseSettings;
import org.hickorycleat.logic.lease.TaskLeaseManager;
import org.hickorycleat.model.identifier.Incarnation;
import org.hickorycleat.model.identifier.ProcessId;
import org.hickorycleat.model.identifier.ZoneId;
import org.hickorycleat.model.message.Message;
import org.hickorycleat.model.message.WorkerSummary;

/** An agent with a real lease keeper and ordered connections, which can be cut, to all owners. */
final class SimulatedAgent {
    private final ProcessId mProcess;
    private final FakeWorker mWorker;
    private final TestScheduler mScheduler;
    private final Random mRandom;
    private final LeaseSettings mSettings;
    private final Map<ProcessId, Connection> mConnections = new HashMap<>();
    private Optional<WorkerSummary> mSummary = Optional.empty();
    private TaskLeaseManager mKeeper;
    private long mIncarnation;
    private long mTickMs;
    private final Deque<Runnable> mHeld = new ArrayDeque<>();
    private boolean mPaused;
    boolean mSlow;

    SimulatedAgent(
            String name,
            FakeWorker worker,
            List<SimulatedOwner> owners,
            TestScheduler scheduler,
            Random random,
            LeaseSettings settings) {
        mProcess = new ProcessId(name);
        mWorker = worker;
        mScheduler = scheduler;
        mRandom = random;
        mSettings = settings;
        mKeeper = build();
        owners.forEach(owner -> mConnections.put(owner.process(), new Connection(owner)));
    }

    private TaskLeaseManager build() {
        mIncarnation++;
        return new TaskLeaseManager(
                mWorker,
                new Output(mIncarnation),
                new Incarnation(mIncarnation),
                mSettings,
                mScheduler);
    }

    ProcessId process() {
        return mProcess;
    }

    TaskLeaseManager keeper() {
        return mKeeper;
    }

    void restart() {
        mConnections.values().forEach(Connection::cut);
        mHeld.clear();
        mSummary = Optional.empty();
        mKeeper = build();
        mConnections.values().forEach(Connection::restore);
    }

    void pause() {
        mPaused = true;
    }

    /** Messages that arrived during the pause are handled late, in their order. */
    void resume() {
        mPaused = false;
        while (!mHeld.isEmpty()) {
            mHeld.remove().run();
        }
    }

    private void handle(Runnable action) {
        if (mPaused) {
            mHeld.add(action);
        } else {
            action.run();
        }
    }

    void cut(SimulatedOwner owner) {
        connection(owner.process()).cut();
    }

    void restore(SimulatedOwner owner) {
        connection(owner.process()).restore();
    }

    void step() {
        if (!mPaused && nowMs() - mTickMs >= 1_000) {
            mTickMs = nowMs();
            mKeeper.tick();
        }
    }

    /** Delivers a message of an owner, unless the connection is cut on the way. */
    void receive(ProcessId owner, Message message) {
        Connection connection = connection(owner);
        TaskLeaseManager keeper = mKeeper;
        connection.toAgent(() -> handle(() -> keeper.onMessage(owner, message)));
    }

    private Connection connection(ProcessId owner) {
        return Objects.requireNonNull(mConnections.get(owner));
    }

    private void send(ProcessId owner, Message message) {
        Connection connection = connection(owner);
        if (connection.mIntroduced) {
            connection.toOwner(new ShardEvent.MessageReceived(mProcess, message));
        }
    }

    private void listed(WorkerSummary worker) {
        mSummary = Optional.of(worker);
        mConnections.values().forEach(Connection::reported);
    }

    private long nowMs() {
        return mScheduler.now(TimeUnit.MILLISECONDS);
    }

    /** Output of one run of the agent; what an earlier run still sends is lost. */
    private final class Output implements LeaseManagerOutput {
        private final long mRun;

        Output(long run) {
            mRun = run;
        }

        @Override
        public void send(ProcessId owner, Message message) {
            if (mRun == mIncarnation) {
                SimulatedAgent.this.send(owner, message);
            }
        }

        @Override
        public void publishWorker(WorkerSummary worker) {
            if (mRun == mIncarnation) {
                listed(worker);
            }
        }
    }

    /** An ordered connection; what is on its way when it is cut is lost. */
    private final class Connection {
        private final SimulatedOwner mOwner;
        private long mGeneration;
        private boolean mUp = true;
        private boolean mIntroduced;
        private long mLastToOwnerMs;
        private long mLastToAgentMs;

        Connection(SimulatedOwner owner) {
            mOwner = owner;
        }

        void cut() {
            if (!mUp) {
                return;
            }
            mUp = false;
            mGeneration++;
            mIntroduced = false;
            mOwner.deliver(new ShardEvent.AgentDisconnected(mProcess));
            mKeeper.disconnected(mOwner.process());
        }

        void restore() {
            mUp = true;
            mGeneration++;
            mIntroduced = false;
            mSummary.ifPresent(summary -> reported());
        }

        void reported() {
            if (!mUp || mSummary.isEmpty()) {
                return;
            }
            if (mIntroduced) {
                toOwner(new ShardEvent.WorkerReported(mProcess, mSummary.get()));
                return;
            }
            mIntroduced = true;
            toOwner(new ShardEvent.AgentConnected(mProcess, new ZoneId("z"), mSummary.get()));
        }

        void toOwner(ShardEvent event) {
            mLastToOwnerMs = Math.max(mLastToOwnerMs, nowMs() + delay());
            later(mLastToOwnerMs, () -> mOwner.deliver(event));
        }

        void toAgent(Runnable action) {
            mLastToAgentMs = Math.max(mLastToAgentMs, nowMs() + delay());
            later(mLastToAgentMs, action);
        }

        private long delay() {
            return 1L + mRandom.nextInt(mSlow ? 5_000 : 10);
        }

        private void later(long atMs, Runnable action) {
            long generation = mGeneration;
            if (!mUp) {
                return;
            }
            Disposable unused =
                    mScheduler.scheduleDirect(
                            () -> {
                                if (generation == mGeneration) {
                                    action.run();
                                }
                            },
                            atMs - nowMs(),
                            TimeUnit.MILLISECONDS);
        }
    }
}
