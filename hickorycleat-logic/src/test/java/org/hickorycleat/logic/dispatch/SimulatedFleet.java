package org.hickorycleat.logic.dispatch;

import io.reactivex.rxjava3.core.Single;
import io.reactivex.rxjava3.schedulers.TestScheduler;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.hickorycleat.logic.directory.IncarnationHistory;
import org.hickorycleat.logic.election.LeaseAuthority;
import org.hickorycleat.logic.port.DecisionLog;
import org.hickorycleat.logic.port.RunCommandResult;
import org.hickorycleat.logic.port.RunListing;
import org.hickorycleat.logic.port.StartRunCommand;
import org.hickorycleat.logic.port.WorkerRuntime;
import org.hickorycleat.logic.supervision.RunSupervisor;
import org.hickorycleat.logic.supervision.SupervisorSettings;
import org.hickorycleat.model.identifier.Epoch;
import org.hickorycleat.model.identifier.ProcessId;
import org.hickorycleat.model.identifier.WorkerId;
import org.hickorycleat.model.job.InterferenceEstimate;
import org.hickorycleat.model.job.JobId;
import org.hickorycleat.model.job.JobProgress;
import org.hickorycleat.model.job.JobState;
import org.hickorycleat.model.job.JobStatus;
import org.hickorycleat.model.job.JobSubmission;
import org.hickorycleat.model.job.QueueBacklog;
import org.hickorycleat.model.job.RunId;
import org.hickorycleat.model.job.TaskKey;
import org.hickorycleat.model.job.TaskStatus;
import org.hickorycleat.model.job.WorkerDescription;
import org.hickorycleat.model.job.WorkerIncarnation;
import org.hickorycleat.model.message.InterferenceWeights;
import org.hickorycleat.model.message.LeaseExtension;
import org.hickorycleat.model.message.Message;
import org.hickorycleat.model.message.RunRejected;
import org.hickorycleat.model.message.RunTraits;
import org.hickorycleat.model.message.StartRun;
import org.hickorycleat.model.message.StopRun;
import org.hickorycleat.model.message.WorkerReport;
import org.hickorycleat.model.task.Resources;

/** A dispatcher, its successors, and agents with their workers, which faults of a test strike. */
final class SimulatedFleet {
    private static final int STORE_DELAY_MS = 3;
    private static final int LINK_DELAY_MS = 4;
    private static final int TICK_MS = 10;
    private static final int RECONNECT_MS = 300;

    private final TestScheduler mScheduler = new TestScheduler();
    private final Random mRandom;
    private final RunHistory mHistory = new RunHistory();
    private final List<Agent> mAgents = new ArrayList<>();
    private final Map<JobId, JobSubmission> mSubmissions = new LinkedHashMap<>();
    private final Map<JobId, JobProgress> mProgress = new LinkedHashMap<>();
    private final Set<JobId> mCancelled = new HashSet<>();
    private final IncarnationHistory mIncarnationHistory = new IncarnationHistory();
    private final int mPreviousOwnerLeaseMs;
    private final Map<JobId, JobState> mStates = new LinkedHashMap<>();
    private long mLastEpoch;
    private Optional<Owner> mOwner = Optional.empty();

    SimulatedFleet(long seed, int workers) {
        this(seed, workers, LeaseAuthority.STORE_TIMEOUT_MS);
    }

    SimulatedFleet(long seed, int workers, int previousOwnerLeaseMs) {
        mRandom = new Random(seed);
        mPreviousOwnerLeaseMs = previousOwnerLeaseMs;
        mScheduler.advanceTimeBy(1, TimeUnit.MINUTES);
        for (int i = 0; i < workers; i++) {
            mAgents.add(new Agent(i));
        }
        startOwner();
    }

    RunHistory history() {
        return mHistory;
    }

    Map<JobId, JobSubmission> submissions() {
        return mSubmissions;
    }

    JobState state(JobId job) {
        return mStates.getOrDefault(job, JobState.QUEUED);
    }

    boolean isCancelled(JobId job) {
        return mCancelled.contains(job);
    }

    // ---- events

    void submit(JobSubmission submission) {
        mSubmissions.put(submission.id(), submission);
        mOwner.ifPresent(owner -> owner.mDispatcher.onJobSubmitted(submission));
    }

    void cancel(JobId job) {
        mCancelled.add(job);
        mOwner.ifPresent(owner -> owner.mDispatcher.onJobCancelled(job));
    }

    void killOwner(int downMs) {
        if (mOwner.isEmpty()) {
            return;
        }
        mOwner.get().mAlive = false;
        mOwner = Optional.empty();
        after(downMs, this::startOwner);
    }

    void killAgent(int agent, int downMs) {
        mAgents.get(agent).kill(downMs);
    }

    void crashWorker(int worker) {
        crashWorker(worker, mRandom.nextInt(400));
    }

    /** Ends a worker, which is back under its id after a time. */
    void crashWorker(int worker, int downMs) {
        mAgents.get(worker).mWorker.crash(downMs);
    }

    /** Sets what a worker measures for every run of it. */
    void setMeasurement(int worker, long measurement) {
        mAgents.get(worker).mWorker.setMeasurement(measurement);
    }

    /** Returns the share in percent at which each run of a job works on a worker. */
    List<Integer> percents(int worker, JobId job) {
        return mAgents.get(worker).mWorker.percents(job);
    }

    /** Cuts a worker off from its agent; what runs on it goes on under its lease. */
    void cutWorker(int worker, int cutMs) {
        mAgents.get(worker).mWorker.cut(cutMs);
    }

    /** Calls an action after a time. */
    void schedule(long delayMs, Runnable action) {
        after(delayMs, action);
    }

    /** Loses the link between an agent and the owner; a new one is opened. */
    void resetLink(int agent) {
        mOwner.ifPresent(owner -> owner.disconnect(mAgents.get(agent)));
        after(RECONNECT_MS, () -> mOwner.ifPresent(owner -> owner.connect(mAgents.get(agent))));
    }

    /**
     * Holds back what is sent on the current link of an agent for a time, and replaces the link
     * before that.
     */
    void holdAndReplaceLink(int agent, int heldMs, int replacedAfterMs) {
        mAgents.get(agent).mLinkHeldUntilMs = nowMs() + heldMs;
        after(
                replacedAfterMs,
                () -> {
                    mAgents.get(agent).mLinkHeldUntilMs = 0;
                    mOwner.ifPresent(owner -> owner.connect(mAgents.get(agent)));
                });
    }

    void setLossRate(double lossRate) {
        mAgents.forEach(agent -> agent.mWorker.setLossRate(lossRate));
    }

    int randomWorker() {
        return mRandom.nextInt(mAgents.size());
    }

    Random random() {
        return mRandom;
    }

    void advanceTime(long milliseconds) {
        for (long passed = 0; passed < milliseconds; passed += TICK_MS) {
            mScheduler.advanceTimeBy(TICK_MS, TimeUnit.MILLISECONDS);
            mAgents.forEach(agent -> agent.mWorker.tick());
            if (nowMs() % 100 == 0) {
                mOwner.ifPresent(owner -> owner.mDispatcher.tick());
            }
            if (nowMs() % 500 == 0) {
                mAgents.forEach(Agent::describeWorker);
            }
        }
    }

    long nowMs() {
        return mScheduler.now(TimeUnit.MILLISECONDS);
    }

    private boolean isLongRunning(TaskKey task) {
        JobSubmission submission = mSubmissions.get(task.job());
        return submission != null && submission.steps().get(task.step()).longRunning();
    }

    /** Returns the final state of a job if it is all that a new owner knows of it. */
    private Optional<JobState> endState(JobId job) {
        return Optional.ofNullable(mProgress.get(job))
                .filter(
                        progress ->
                                progress.tasks().stream()
                                        .noneMatch(task -> task.status() == TaskStatus.ACTIVE))
                .map(JobProgress::state)
                .filter(JobState::isFinal);
    }

    /** Returns the number of jobs that the owner keeps; 0 while there is none. */
    int keptJobs() {
        return mOwner.map(owner -> owner.mDispatcher.jobCount()).orElse(0);
    }

    private void startOwner() {
        mLastEpoch++;
        Owner owner = new Owner(new Epoch(mLastEpoch));
        mOwner = Optional.of(owner);
        owner.start();
    }

    private void after(long delayMs, Runnable action) {
        mScheduler.scheduleDirect(action, delayMs, TimeUnit.MILLISECONDS);
    }

    // ---- owner

    private final class Owner implements DispatchOutput {
        private final Epoch mEpoch;
        private final Dispatcher mDispatcher;
        private boolean mAlive = true;

        Owner(Epoch epoch) {
            mEpoch = epoch;
            mDispatcher =
                    new Dispatcher(
                            epoch,
                            this,
                            mScheduler,
                            SimulatedFleet.this::nowMs,
                            DispatchSettings.of(10_000, mPreviousOwnerLeaseMs),
                            DecisionLog.NONE);
        }

        void start() {
            mDispatcher.onConfigurationChanged(
                    DispatchFixture.configuration(DispatchFixture.queue()));
            for (JobSubmission submission : mSubmissions.values()) {
                Optional<JobState> ended = endState(submission.id());
                if (ended.isPresent()) {
                    // Entries read the final state from the log, also if its owner died before it
                    // published it.
                    mStates.put(submission.id(), ended.get());
                    continue;
                }
                mDispatcher.restoreJob(
                        submission,
                        Optional.ofNullable(mProgress.get(submission.id())),
                        mCancelled.contains(submission.id()));
            }
            mDispatcher.restoreIncarnationAges(mIncarnationHistory.newestAgesMs(nowMs()));
            mDispatcher.restoreRunAges(mIncarnationHistory.runAgesMs(60_000, nowMs()));
            mAgents.stream().filter(Agent::isAlive).forEach(this::connect);
        }

        void connect(Agent agent) {
            if (!mAlive || !agent.isAlive()) {
                return;
            }
            long session = mDispatcher.onAgentConnected(agent.mId);
            AgentLife life = agent.mLife.orElseThrow();
            after(agent.linkDelayMs(), () -> life.onOwnerAnnounced(this, session));
        }

        void disconnect(Agent agent) {
            mDispatcher.onAgentDisconnected(agent.mId);
        }

        void onMessage(Agent agent, Message message) {
            if (!mAlive) {
                return;
            }
            if (message instanceof WorkerReport report) {
                mDispatcher.onWorkerReport(agent.mId, report);
            } else if (message instanceof RunRejected rejection) {
                mDispatcher.onRunRejected(agent.mId, rejection);
            }
        }

        @Override
        public boolean send(ProcessId agent, Message message) {
            Agent receiver =
                    mAgents.stream().filter(known -> known.mId.equals(agent)).findFirst().get();
            if (!mAlive || !receiver.isAlive()) {
                return false;
            }
            AgentLife life = receiver.mLife.orElseThrow();
            after(receiver.linkDelayMs(), () -> life.onMessage(this, message));
            return true;
        }

        @Override
        public void persistProgress(List<JobProgress> progress, Runnable onDurable) {
            after(
                    STORE_DELAY_MS,
                    () -> {
                        if (!mAlive && mRandom.nextBoolean()) {
                            return;
                        }
                        for (JobProgress job : progress) {
                            mProgress.put(job.id(), job);
                            mIncarnationHistory.onProgress(job, nowMs());
                        }
                        if (mAlive) {
                            onDurable.run();
                        }
                    });
        }

        @Override
        public boolean isPast(JobId job) {
            return mProgress.containsKey(job) && mProgress.get(job).state().isFinal();
        }

        @Override
        public void saveInterferenceWeights(List<InterferenceEstimate> weights) {}

        @Override
        public void publishJobStates(List<JobStatus> states) {
            if (mAlive) {
                states.forEach(status -> mStates.put(status.id(), status.state()));
            }
        }

        @Override
        public void publishBacklogs(List<QueueBacklog> backlogs) {}

        @Override
        public boolean mayExtendLeases() {
            return mAlive;
        }
    }

    // ---- agents

    private final class Agent {
        private final ProcessId mId;
        private final SimulatedWorker mWorker;
        private final int mNumber;
        private Optional<AgentLife> mLife = Optional.empty();
        private long mSequence;
        private long mLinkHeldUntilMs;

        Agent(int number) {
            mNumber = number;
            mId = DispatchFixture.agent(number);
            mWorker =
                    new SimulatedWorker(
                            "worker-" + number,
                            mScheduler,
                            mRandom,
                            mHistory,
                            SimulatedFleet.this::isLongRunning);
            start();
        }

        boolean isAlive() {
            return mLife.isPresent();
        }

        long linkDelayMs() {
            return Math.max(LINK_DELAY_MS, mLinkHeldUntilMs - nowMs());
        }

        void start() {
            AgentLife life = new AgentLife(this);
            mLife = Optional.of(life);
            life.mSupervisor.start();
            describeWorker();
            mOwner.ifPresent(owner -> owner.connect(this));
        }

        void kill(int downMs) {
            mLinkHeldUntilMs = 0;
            if (mLife.isEmpty()) {
                return;
            }
            mLife.get().mAlive = false;
            mLife.get().mSupervisor.stop();
            mLife = Optional.empty();
            mOwner.ifPresent(owner -> owner.disconnect(this));
            after(downMs, this::start);
        }

        void describeWorker() {
            mSequence++;
            WorkerDescription description =
                    new WorkerDescription(
                            new WorkerIncarnation(
                                    new WorkerId("i-" + mNumber), mWorker.startedAtMs()),
                            DispatchFixture.SERVICE,
                            new Resources(64_000, 256_000, 0),
                            List.of("a", "r1-" + mNumber),
                            false,
                            0,
                            mSequence);
            mLife.ifPresent(life -> life.mSupervisor.onWorkerDescribed(description));
        }
    }

    /** One process of an agent. Its calls may still reach the worker after it was killed. */
    private final class AgentLife implements WorkerRuntime {
        private final Agent mAgent;
        private final RunSupervisor mSupervisor;
        private boolean mAlive = true;
        private Optional<Owner> mKnownOwner = Optional.empty();

        AgentLife(Agent agent) {
            mAgent = agent;
            mSupervisor =
                    new RunSupervisor(
                            this,
                            this::sendToOwner,
                            mScheduler,
                            SupervisorSettings.of(10_000, 4_500),
                            nowMs(),
                            DecisionLog.NONE);
        }

        private void sendToOwner(Message message) {
            if (mAlive) {
                mKnownOwner.ifPresent(
                        owner ->
                                after(
                                        mAgent.linkDelayMs(),
                                        () -> owner.onMessage(mAgent, message)));
            }
        }

        void onOwnerAnnounced(Owner owner, long session) {
            boolean older =
                    mKnownOwner.isPresent() && owner.mEpoch.compareTo(mKnownOwner.get().mEpoch) < 0;
            if (mAlive && !older) {
                mKnownOwner = Optional.of(owner);
                mSupervisor.onOwnerSession(owner.mEpoch, session);
            }
        }

        void onMessage(Owner owner, Message message) {
            if (!mAlive || !mKnownOwner.equals(Optional.of(owner))) {
                return;
            }
            if (message instanceof StartRun start) {
                mSupervisor.onStartRun(start);
            } else if (message instanceof StopRun stop) {
                mSupervisor.onStopRun(stop);
            } else if (message instanceof LeaseExtension extension) {
                mSupervisor.onLeaseExtension(extension);
            } else if (message instanceof RunTraits traits) {
                mSupervisor.onRunTraits(traits);
            } else if (message instanceof InterferenceWeights weights) {
                mSupervisor.onInterferenceWeights(weights);
            }
        }

        @Override
        public Single<RunCommandResult> start(StartRunCommand command) {
            return mAlive ? mAgent.mWorker.start(command) : Single.never();
        }

        @Override
        public Single<RunCommandResult> stop(RunId run, long fencingToken) {
            return mAlive ? mAgent.mWorker.stop(run, fencingToken) : Single.never();
        }

        @Override
        public Single<RunCommandResult> throttle(RunId run, int percent, long fencingToken) {
            return mAlive ? mAgent.mWorker.throttle(run, percent, fencingToken) : Single.never();
        }

        @Override
        public Single<RunListing> list(
                long fencingToken,
                Optional<Long> leaseDeadlineMs,
                long acknowledgedEnds,
                int waitMs) {
            return mAlive
                    ? mAgent.mWorker.list(fencingToken, leaseDeadlineMs, acknowledgedEnds, waitMs)
                    : Single.never();
        }
    }
}
