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

/**
 * Simulated agent with a real lease manager and ordered connections to all owners that can be
 * disconnected.
 */
final class SimulatedAgent {
    private final ProcessId mProcess;
    private final FakeWorker mWorker;
    private final TestScheduler mScheduler;
    private final Random mRandom;
    private final LeaseSettings mSettings;
    private final Map<ProcessId, Connection> mConnections = new HashMap<>();
    private Optional<WorkerSummary> mSummary = Optional.empty();
    private TaskLeaseManager mLeaseManager;
    private long mIncarnation;
    private long mTickMs;
    private final Deque<Runnable> mDeferred = new ArrayDeque<>();
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
        mLeaseManager = buildLeaseManager();
        owners.forEach(owner -> mConnections.put(owner.process(), new Connection(owner)));
    }

    private TaskLeaseManager buildLeaseManager() {
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

    TaskLeaseManager leaseManager() {
        return mLeaseManager;
    }

    void restart() {
        mConnections.values().forEach(Connection::disconnect);
        mDeferred.clear();
        mSummary = Optional.empty();
        mLeaseManager = buildLeaseManager();
        mConnections.values().forEach(Connection::reconnect);
    }

    void pause() {
        mPaused = true;
    }

    /** Handles the messages that arrived during the pause, in their order. */
    void resume() {
        mPaused = false;
        while (!mDeferred.isEmpty()) {
            mDeferred.remove().run();
        }
    }

    private void handle(Runnable action) {
        if (mPaused) {
            mDeferred.add(action);
        } else {
            action.run();
        }
    }

    void disconnect(SimulatedOwner owner) {
        connection(owner.process()).disconnect();
    }

    void reconnect(SimulatedOwner owner) {
        connection(owner.process()).reconnect();
    }

    void step() {
        if (!mPaused && nowMs() - mTickMs >= 1_000) {
            mTickMs = nowMs();
            mLeaseManager.tick();
        }
    }

    /** Delivers a message of an owner, unless the connection is lost before it arrives. */
    void receive(ProcessId owner, Message message) {
        Connection connection = connection(owner);
        TaskLeaseManager leaseManager = mLeaseManager;
        connection.sendToAgent(() -> handle(() -> leaseManager.onMessage(owner, message)));
    }

    private Connection connection(ProcessId owner) {
        return Objects.requireNonNull(mConnections.get(owner));
    }

    private void send(ProcessId owner, Message message) {
        Connection connection = connection(owner);
        if (connection.mIntroduced) {
            connection.sendToOwner(new ShardEvent.MessageReceived(mProcess, message));
        }
    }

    private void onWorkerPublished(WorkerSummary worker) {
        mSummary = Optional.of(worker);
        mConnections.values().forEach(Connection::reportWorker);
    }

    private long nowMs() {
        return mScheduler.now(TimeUnit.MILLISECONDS);
    }

    /** Output of one incarnation of the agent; messages of an earlier incarnation are lost. */
    private final class Output implements LeaseManagerOutput {
        private final long mOutputIncarnation;

        Output(long incarnation) {
            mOutputIncarnation = incarnation;
        }

        @Override
        public void send(ProcessId owner, Message message) {
            if (mOutputIncarnation == mIncarnation) {
                SimulatedAgent.this.send(owner, message);
            }
        }

        @Override
        public void publishWorker(WorkerSummary worker) {
            if (mOutputIncarnation == mIncarnation) {
                onWorkerPublished(worker);
            }
        }
    }

    /** An ordered connection; messages in flight are lost when it is disconnected. */
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

        void disconnect() {
            if (!mUp) {
                return;
            }
            mUp = false;
            mGeneration++;
            mIntroduced = false;
            mOwner.deliver(new ShardEvent.AgentDisconnected(mProcess));
            mLeaseManager.disconnected(mOwner.process());
        }

        void reconnect() {
            mUp = true;
            mGeneration++;
            mIntroduced = false;
            mSummary.ifPresent(summary -> reportWorker());
        }

        void reportWorker() {
            if (!mUp || mSummary.isEmpty()) {
                return;
            }
            if (mIntroduced) {
                sendToOwner(new ShardEvent.WorkerReported(mProcess, mSummary.get()));
                return;
            }
            mIntroduced = true;
            sendToOwner(new ShardEvent.AgentConnected(mProcess, new ZoneId("z"), mSummary.get()));
        }

        void sendToOwner(ShardEvent event) {
            mLastToOwnerMs = Math.max(mLastToOwnerMs, nowMs() + delay());
            schedule(mLastToOwnerMs, () -> mOwner.deliver(event));
        }

        void sendToAgent(Runnable action) {
            mLastToAgentMs = Math.max(mLastToAgentMs, nowMs() + delay());
            schedule(mLastToAgentMs, action);
        }

        private long delay() {
            return 1L + mRandom.nextInt(mSlow ? 5_000 : 10);
        }

        private void schedule(long atMs, Runnable action) {
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
