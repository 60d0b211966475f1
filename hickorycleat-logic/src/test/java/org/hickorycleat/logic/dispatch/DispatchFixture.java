package org.hickorycleat.logic.dispatch;

import io.reactivex.rxjava3.schedulers.TestScheduler;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.hickorycleat.logic.places.WaitPolicy;
import org.hickorycleat.logic.port.DecisionLog;
import org.hickorycleat.model.identifier.Epoch;
import org.hickorycleat.model.identifier.ProcessId;
import org.hickorycleat.model.identifier.ServiceName;
import org.hickorycleat.model.identifier.WorkerId;
import org.hickorycleat.model.identifier.ZoneId;
import org.hickorycleat.model.job.EndedRun;
import org.hickorycleat.model.job.InterferenceEstimate;
import org.hickorycleat.model.job.JobId;
import org.hickorycleat.model.job.JobProgress;
import org.hickorycleat.model.job.JobQueue;
import org.hickorycleat.model.job.JobState;
import org.hickorycleat.model.job.JobStatus;
import org.hickorycleat.model.job.JobSubmission;
import org.hickorycleat.model.job.ListCompleteness;
import org.hickorycleat.model.job.QueueBacklog;
import org.hickorycleat.model.job.QueueName;
import org.hickorycleat.model.job.RunId;
import org.hickorycleat.model.job.RunSample;
import org.hickorycleat.model.job.StepSpecification;
import org.hickorycleat.model.job.WorkerDescription;
import org.hickorycleat.model.job.WorkerIncarnation;
import org.hickorycleat.model.job.WorkerPool;
import org.hickorycleat.model.job.WorkloadConfiguration;
import org.hickorycleat.model.message.LeaseExtension;
import org.hickorycleat.model.message.Message;
import org.hickorycleat.model.message.QueueBacklogs;
import org.hickorycleat.model.message.StartRun;
import org.hickorycleat.model.message.StopRun;
import org.hickorycleat.model.message.WorkerReport;
import org.hickorycleat.model.task.Resources;

/** Dispatcher whose store, links and workers a test controls. */
final class DispatchFixture implements DispatchOutput {
    static final Epoch EPOCH = new Epoch(3);
    static final QueueName QUEUE = new QueueName("allocations");
    static final ServiceName SERVICE = new ServiceName("booking");
    static final int MAXIMUM_ATTEMPTS = 2;
    static final int LEASE_MS = 6_000;
    static final int PREVIOUS_OWNER_LEASE_MS = 6_000;
    static final int MAXIMUM_LEASE_MS = 10_000;

    final TestScheduler mScheduler = new TestScheduler();
    final List<StartRun> mStarts = new ArrayList<>();
    final List<ProcessId> mStartedOn = new ArrayList<>();
    final List<StopRun> mStops = new ArrayList<>();
    final List<LeaseExtension> mLeases = new ArrayList<>();
    final List<JobStatus> mPublished = new ArrayList<>();
    final List<QueueBacklogs> mBacklogs = new ArrayList<>();
    final List<JobProgress> mPersisted = new ArrayList<>();
    final List<InterferenceEstimate> mSavedWeights = new ArrayList<>();
    final List<Runnable> mWaitingCallbacks = new ArrayList<>();
    Dispatcher mDispatcher;
    boolean mStoreBlocked;
    ListCompleteness mCompleteness = ListCompleteness.COMPLETE;
    boolean mMayExtendLeases = true;
    long mLeaseRemainingMs;
    long mPendingLeaseRemainingMs;
    boolean mLeaseExpired;
    List<RunId> mPending = List.of();
    int mBestEffortPercent = 100;
    long mColdRemainingMs;
    final Map<Integer, ZoneId> mZoneOfAgent = new HashMap<>();
    int mWorkersPerRack = 1;
    boolean mDraining;
    private double mFarRunFactor = 1;
    private WaitPolicy mWaitPolicy = WaitPolicy.expectedEnds();
    private long mReportNumber;

    DispatchFixture() {
        this(Optional.of(configuration(queue())));
    }

    DispatchFixture(Optional<WorkloadConfiguration> configuration) {
        mScheduler.advanceTimeBy(1, TimeUnit.MINUTES);
        mDispatcher = newDispatcher(configuration, PREVIOUS_OWNER_LEASE_MS);
    }

    /** Creates a fixture whose dispatcher heard the owner before it. */
    DispatchFixture(int previousOwnerLeaseMs) {
        mScheduler.advanceTimeBy(1, TimeUnit.MINUTES);
        mDispatcher = newDispatcher(Optional.of(configuration(queue())), previousOwnerLeaseMs);
    }

    /** Creates a fixture whose runs away from their rack take longer. */
    DispatchFixture(int workersPerRack, double farRunFactor, WaitPolicy waitPolicy) {
        mScheduler.advanceTimeBy(1, TimeUnit.MINUTES);
        mWorkersPerRack = workersPerRack;
        mFarRunFactor = farRunFactor;
        mWaitPolicy = waitPolicy;
        mDispatcher = newDispatcher();
    }

    Dispatcher newDispatcher() {
        return newDispatcher(Optional.of(configuration(queue())), PREVIOUS_OWNER_LEASE_MS);
    }

    private Dispatcher newDispatcher(
            Optional<WorkloadConfiguration> configuration, int previousOwnerLeaseMs) {
        Dispatcher dispatcher =
                new Dispatcher(
                        EPOCH,
                        this,
                        mScheduler,
                        () -> mScheduler.now(TimeUnit.MILLISECONDS),
                        new DispatchSettings(
                                LEASE_MS, previousOwnerLeaseMs, MAXIMUM_LEASE_MS, mFarRunFactor),
                        mWaitPolicy,
                        DecisionLog.NONE);
        configuration.ifPresent(dispatcher::onConfigurationChanged);
        return dispatcher;
    }

    static WorkloadConfiguration configuration(JobQueue... queues) {
        return new WorkloadConfiguration(
                1, List.of(queues), List.of(new WorkerPool(SERVICE, true, false)), 100_000);
    }

    static JobQueue queue() {
        return new JobQueue(
                QUEUE,
                "host",
                "/allocations/",
                SERVICE,
                0,
                MAXIMUM_ATTEMPTS,
                2,
                1_000,
                3_000,
                Optional.empty());
    }

    @Override
    public boolean send(ProcessId agent, Message message) {
        if (message instanceof StartRun start) {
            mStarts.add(start);
            mStartedOn.add(agent);
        } else if (message instanceof StopRun stop) {
            mStops.add(stop);
        } else if (message instanceof LeaseExtension lease) {
            mLeases.add(lease);
        }
        return true;
    }

    @Override
    public void persistProgress(List<JobProgress> progress, Runnable onDurable) {
        mPersisted.addAll(progress);
        if (mStoreBlocked) {
            mWaitingCallbacks.add(onDurable);
        } else {
            onDurable.run();
        }
    }

    @Override
    public boolean isPast(JobId job) {
        return mPublished.stream()
                .anyMatch(status -> status.id().equals(job) && status.state().isFinal());
    }

    @Override
    public void saveInterferenceWeights(List<InterferenceEstimate> weights) {
        mSavedWeights.addAll(weights);
    }

    @Override
    public void publishJobStates(List<JobStatus> states) {
        mPublished.addAll(states);
    }

    @Override
    public void publishBacklogs(List<QueueBacklog> backlogs) {
        mBacklogs.add(new QueueBacklogs(EPOCH, backlogs));
    }

    @Override
    public boolean mayExtendLeases() {
        return mMayExtendLeases;
    }

    /** Unblocks the store and completes all blocked writes. */
    void completeBlockedWrites() {
        mStoreBlocked = false;
        List<Runnable> waiting = new ArrayList<>(mWaitingCallbacks);
        mWaitingCallbacks.clear();
        waiting.forEach(Runnable::run);
    }

    static ProcessId agent(int number) {
        return new ProcessId("agent-" + number);
    }

    String rack(int number) {
        return "r1-" + ((number - 1) / mWorkersPerRack + 1);
    }

    static WorkerIncarnation incarnation(int number, long startedAtMs) {
        return new WorkerIncarnation(new WorkerId("i-" + number), startedAtMs);
    }

    /** Connects an agent whose worker has no runs. */
    long connect(int number) {
        long session = mDispatcher.onAgentConnected(agent(number));
        report(number, session, 1, 0, List.of(), List.of());
        return session;
    }

    void report(
            int number,
            long session,
            long startedAtMs,
            long lastCommandNumber,
            List<RunSample> running,
            List<EndedRun> ended) {
        mReportNumber++;
        reportWithNumber(
                mReportNumber, number, session, startedAtMs, lastCommandNumber, running, ended);
    }

    void reportWithNumber(
            long reportNumber,
            int number,
            long session,
            long startedAtMs,
            long lastCommandNumber,
            List<RunSample> running,
            List<EndedRun> ended) {
        WorkerIncarnation incarnation = incarnation(number, startedAtMs);
        WorkerDescription description =
                new WorkerDescription(
                        incarnation,
                        SERVICE,
                        new Resources(16_000, 64_000, 0),
                        List.of("a", rack(number)),
                        mDraining,
                        0,
                        1,
                        Optional.ofNullable(mZoneOfAgent.get(number)),
                        mColdRemainingMs);
        mDispatcher.onWorkerReport(
                agent(number),
                new WorkerReport(
                        reportNumber,
                        EPOCH,
                        session,
                        Optional.of(description),
                        Optional.of(incarnation),
                        lastCommandNumber,
                        mPending,
                        running,
                        ended,
                        mCompleteness,
                        mLeaseExpired,
                        mLeaseRemainingMs,
                        mPendingLeaseRemainingMs,
                        true,
                        mBestEffortPercent));
    }

    static StepSpecification step(int count, boolean longRunning) {
        return new StepSpecification(
                count,
                new Resources(1_000, 1_000, 0),
                1_000,
                List.of(),
                true,
                false,
                false,
                Optional.empty(),
                Optional.empty(),
                0,
                false,
                longRunning,
                "image",
                0,
                false,
                -1);
    }

    JobSubmission submission(String id, StepSpecification... steps) {
        return new JobSubmission(
                new JobId(id),
                QUEUE,
                "payload",
                List.of(steps),
                0,
                0,
                0,
                mScheduler.now(TimeUnit.MILLISECONDS));
    }

    JobSubmission submit(String id, StepSpecification... steps) {
        JobSubmission submission = submission(id, steps);
        mDispatcher.onJobSubmitted(submission);
        return submission;
    }

    RunSample sample(int start) {
        return new RunSample(mStarts.get(start).run(), "checkpoint", 50, 900);
    }

    RunId run(int start) {
        return mStarts.get(start).run();
    }

    Optional<JobState> lastPublishedState(String id) {
        return mPublished.stream()
                .filter(status -> status.id().value().equals(id))
                .map(JobStatus::state)
                .reduce((first, second) -> second);
    }

    void advanceTime(long milliseconds) {
        for (long passed = 0; passed < milliseconds; passed += 100) {
            mScheduler.advanceTimeBy(100, TimeUnit.MILLISECONDS);
            mDispatcher.tick();
        }
    }
}
