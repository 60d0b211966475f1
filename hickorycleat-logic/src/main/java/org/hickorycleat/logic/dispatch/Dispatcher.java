package org.hickorycleat.logic.dispatch;

import io.reactivex.rxjava3.core.Scheduler;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import java.util.function.Supplier;
import org.hickorycleat.logic.places.RackDemand;
import org.hickorycleat.logic.places.WaitCounters;
import org.hickorycleat.logic.places.WaitPolicy;
import org.hickorycleat.logic.port.DecisionLog;
import org.hickorycleat.model.identifier.Epoch;
import org.hickorycleat.model.identifier.ProcessId;
import org.hickorycleat.model.identifier.ZoneId;
import org.hickorycleat.model.job.EndCause;
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
import org.hickorycleat.model.job.TaskKey;
import org.hickorycleat.model.job.TaskProgress;
import org.hickorycleat.model.job.TaskStatus;
import org.hickorycleat.model.job.WorkerIncarnation;
import org.hickorycleat.model.job.WorkloadConfiguration;
import org.hickorycleat.model.message.InterferenceWeights;
import org.hickorycleat.model.message.LeaseExtension;
import org.hickorycleat.model.message.RunRejected;
import org.hickorycleat.model.message.RunTraits;
import org.hickorycleat.model.message.StartRun;
import org.hickorycleat.model.message.StopRun;
import org.hickorycleat.model.message.WorkerReport;

/**
 * Places the tasks of all jobs on workers; runs on the owner of the jobs.
 *
 * <p>Every start and every end is durable before it has any effect outside this process. A run
 * counts as over only when its end is listed, its worker has a new incarnation, the agent proves
 * that it is not there, or its lease has certainly expired.
 */
public final class Dispatcher {
    /** Delay before a task is placed again after a rejection, in milliseconds. */
    private static final long REJECTION_DELAY_MS = 150;

    /** Pause after a placement round, as a multiple of the duration of the round. */
    private static final long PLACEMENT_PAUSE_FACTOR = 3;

    /** Time between two saves of the interference weights, in milliseconds. */
    private static final long INTERFERENCE_SAVE_INTERVAL_MS = 5_000;

    /** Interval between two estimates of the backlogs, in milliseconds. */
    private static final long BACKLOG_INTERVAL_MS = 500;

    /** Interval between two log lines on the work of the owner, in milliseconds. */
    private static final long STATUS_LOG_INTERVAL_MS = 5_000;

    private final Epoch mEpoch;
    private final DispatchOutput mOutput;
    private final Scheduler mScheduler;
    private final LongSupplier mUnixClockMs;
    private final DispatchSettings mSettings;
    private final DecisionLog mLog;
    private final InterferenceEstimator mInterferenceEstimator = new InterferenceEstimator();
    private final RunMonitor mRunMonitor;
    private final TaskPlacer mPlacer;
    private final ZoneEvacuator mZoneEvacuator;
    private final RackPlacer mRackPlacer;
    private final RunTimeRatios mRunTimeRatios;
    private final DispatchOrder mDispatchOrder;
    private final BacklogEstimator mBacklogEstimator;

    private final Map<JobId, TrackedJob> mJobs = new LinkedHashMap<>();
    private final Set<TrackedJob> mUnfinishedJobs = new LinkedHashSet<>();
    // The cancellation of a job may arrive on a faster link than its submission.
    private final Set<JobId> mCancelledJobs = new HashSet<>();
    private final Map<ProcessId, TrackedWorker> mWorkers = new LinkedHashMap<>();
    private final Set<TrackedJob> mUnsavedJobs = new LinkedHashSet<>();
    private final List<Runnable> mActionsAfterDurable = new ArrayList<>();
    private final Set<TrackedJob> mUnpublishedJobs = new LinkedHashSet<>();
    private final EndedJobs mEndedJobs = new EndedJobs();
    private final QueueCatalog mQueues = new QueueCatalog();
    private boolean mPersisting;
    private boolean mPlacementStopped;
    private long mLastSession;
    private long mNextPlacementAtNanos = Long.MIN_VALUE;
    private boolean mPlacementScheduled;
    private long mInterferenceSavedAtMs;
    private long mBacklogEstimatedAtMs;
    private boolean mHasBacklog;
    private long mStatusLoggedAtMs;
    private long mPlacementNanos;

    /** Creates the dispatcher of an owner with the epoch of its claim. */
    public Dispatcher(
            Epoch epoch,
            DispatchOutput output,
            Scheduler scheduler,
            LongSupplier unixClockMs,
            DispatchSettings settings,
            DecisionLog log) {
        this(epoch, output, scheduler, unixClockMs, settings, WaitPolicy.expectedEnds(), log);
    }

    Dispatcher(
            Epoch epoch,
            DispatchOutput output,
            Scheduler scheduler,
            LongSupplier unixClockMs,
            DispatchSettings settings,
            WaitPolicy waitPolicy,
            DecisionLog log) {
        mEpoch = epoch;
        mOutput = output;
        mScheduler = scheduler;
        mUnixClockMs = unixClockMs;
        mSettings = settings;
        mLog = log;
        mStatusLoggedAtMs = nowMs();
        mRunTimeRatios = new RunTimeRatios(settings.farRunFactor());
        mDispatchOrder = new DispatchOrder(mRunTimeRatios);
        RackDemand rackDemand = new RackDemand();
        WorkerSelector selector = new WorkerSelector(mInterferenceEstimator, rackDemand);
        mRackPlacer = new RackPlacer(selector, mRunTimeRatios, rackDemand, waitPolicy, log);
        mBacklogEstimator = new BacklogEstimator(mRunTimeRatios, mRackPlacer::isWaiting);
        mPlacer =
                new TaskPlacer(
                        selector,
                        mRackPlacer,
                        mDispatchOrder,
                        mUnfinishedJobs,
                        mWorkers.values(),
                        this::startWhenDurable,
                        log);
        mRunMonitor =
                new RunMonitor(task -> mPlacer.selectWorker(task, nowMs()), this::requestStop, log);
        mZoneEvacuator =
                new ZoneEvacuator(
                        mWorkers.values(),
                        task -> mPlacer.selectWorker(task, nowMs()),
                        this::requestStop,
                        log);
    }

    /** Stops placing tasks because the owner is about to hand over. */
    public synchronized void stopPlacement() {
        mPlacementStopped = true;
    }

    /** Places tasks again because the owner was not succeeded. */
    public synchronized void resumePlacement() {
        mPlacementStopped = false;
        placeAndFlush();
    }

    /** Returns whether every decision so far is durable. */
    public synchronized boolean isDurable() {
        return !mPersisting && mUnsavedJobs.isEmpty();
    }

    /**
     * Returns whether the end of a run can only be proven by the time of its lease, because its
     * agent is not connected or has not reported to this owner yet. The next owner would have to
     * wait from the start.
     */
    public synchronized boolean isWaitingForLease() {
        return mWorkers.values().stream()
                .anyMatch(worker -> worker.hasRuns() && worker.isUnheard());
    }

    /** Handles a new active configuration. */
    public synchronized void onConfigurationChanged(WorkloadConfiguration configuration) {
        boolean older =
                mQueues.configurationVersion()
                        .filter(version -> configuration.version() < version)
                        .isPresent();
        if (older) {
            return;
        }
        mQueues.onConfigurationChanged(configuration);
        mPlacer.onConfigurationChanged(configuration);
        updateQueues();
    }

    /** Handles the durable settings of a queue under which jobs were accepted. */
    public synchronized void onQueueAccepting(JobQueue queue) {
        mQueues.onQueueAccepting(queue);
        updateQueues();
    }

    private void updateQueues() {
        for (TrackedJob job : List.copyOf(mUnfinishedJobs)) {
            mQueues.find(job.submission().queue()).ifPresent(job::onQueueChanged);
            failIfAttemptsExhausted(job);
        }
    }

    /**
     * Handles a change of the availability zones that are evacuated.
     *
     * @param zones returns the zones of now, so that of two changes the later one is in force
     */
    public synchronized void onEvacuationsChanged(Supplier<Set<ZoneId>> zones) {
        mZoneEvacuator.onZonesChanged(zones.get());
        placeAndFlush();
    }

    /** Returns the number of runs on workers of evacuated availability zones. */
    public synchronized int evacuatedRuns() {
        return mZoneEvacuator.remainingRuns();
    }

    /** Restores the interference weights that a previous owner saved. */
    public synchronized void restoreInterferenceWeights(List<InterferenceEstimate> weights) {
        mInterferenceEstimator.restore(weights);
    }

    /** Restores a job and its durable progress from the log. */
    public synchronized void restoreJob(
            JobSubmission submission, Optional<JobProgress> progress, boolean cancelled) {
        if (mJobs.containsKey(submission.id())) {
            return;
        }
        TrackedJob job = new TrackedJob(submission, mQueues.find(submission.queue()));
        addJob(job);
        progress.ifPresent(saved -> restoreJob(job, saved));
        if (cancelled) {
            mCancelledJobs.add(job.id());
        }
        cancelIfRequested(job);
        failIfAttemptsExhausted(job);
        // A previous owner may have ended before all runs of a job in a final state were stopped.
        if (job.state().isFinal()) {
            stopRuns(job);
        }
        mUnpublishedJobs.add(job);
    }

    private void restoreJob(TrackedJob job, JobProgress progress) {
        onStateChanged(job, progress.state());
        for (TaskProgress saved : progress.tasks()) {
            TaskKey key = new TaskKey(job.id(), saved.occurrence(), saved.step(), saved.index());
            Optional<TrackedTask> task = job.task(key);
            if (task.isEmpty()) {
                mLog.record("progress_ignored", "task", key, "reason", "no_such_task");
                continue;
            }
            task.get().restore(saved);
            if (saved.status() == TaskStatus.ACTIVE) {
                restoreActiveRun(task.get(), saved);
            }
        }
    }

    private void restoreActiveRun(TrackedTask task, TaskProgress saved) {
        if (saved.agent().isEmpty() || saved.incarnation().isEmpty()) {
            task.onPending(nowMs());
            return;
        }
        TrackedWorker worker = worker(saved.agent().get());
        RunId id = new RunId(task.key(), saved.run());
        TrackedRun run =
                new TrackedRun(id, task, worker, saved.incarnation().get(), RunPhase.INHERITED);
        worker.add(run);
        task.onRunAssigned(run);
    }

    /**
     * Restores how long the newest incarnation of the worker of each agent has been known; called
     * after the jobs are restored. Until its agent reports, a young incarnation may hold its runs
     * for as long as a worker grants leases.
     */
    public synchronized void restoreIncarnationAges(Map<ProcessId, Long> agesMs) {
        for (TrackedWorker worker : mWorkers.values()) {
            Long ageMs = agesMs.get(worker.agent());
            if (ageMs != null) {
                worker.onLeaseExtended(nowMs() - ageMs + mSettings.maximumCertainExpiryMs());
            }
        }
    }

    /**
     * Restores how long runs have been in the job log; called after the jobs are restored. The
     * start of a young run may have been executed by an incarnation of its worker that nobody has
     * listed yet.
     */
    public synchronized void restoreRunAges(Map<RunId, Long> agesMs) {
        for (TrackedWorker worker : mWorkers.values()) {
            for (TrackedRun run : worker.runs()) {
                Long ageMs = agesMs.get(run.id());
                if (ageMs != null) {
                    run.onUnlisted(nowMs() - ageMs + mSettings.unlistedStartExpiryMs());
                }
            }
        }
    }

    private void addJob(TrackedJob job) {
        job.markActive(nowMs());
        mJobs.put(job.id(), job);
        mUnfinishedJobs.add(job);
        mDispatchOrder.recordJob(job);
    }

    private TrackedWorker worker(ProcessId agent) {
        return mWorkers.computeIfAbsent(
                agent,
                id ->
                        new TrackedWorker(
                                id,
                                nowMs()
                                        + mSettings.previousOwnerLeaseMs()
                                        + mSettings.certainExpiryMs()));
    }

    /** Handles the submission of a job that is durable. */
    public synchronized void onJobSubmitted(JobSubmission submission) {
        if (mJobs.containsKey(submission.id()) || mOutput.isPast(submission.id())) {
            return;
        }
        TrackedJob job = new TrackedJob(submission, mQueues.find(submission.queue()));
        addJob(job);
        mLog.record(
                "job_taken",
                "job",
                job.id(),
                "queue",
                submission.queue(),
                "steps",
                submission.steps().size(),
                "age_ms",
                mUnixClockMs.getAsLong() - submission.acceptedAtMs());
        cancelIfRequested(job);
        mUnpublishedJobs.add(job);
        placeAndFlush();
    }

    /** Handles the cancellation of a job that is durable. */
    public synchronized void onJobCancelled(JobId id) {
        if (!mJobs.containsKey(id) && mOutput.isPast(id)) {
            return;
        }
        mCancelledJobs.add(id);
        TrackedJob job = mJobs.get(id);
        if (job != null) {
            cancelIfRequested(job);
            placeAndFlush();
        }
    }

    private void cancelIfRequested(TrackedJob job) {
        if (!mCancelledJobs.contains(job.id()) || job.state().isFinal()) {
            return;
        }
        mLog.record("job_cancelled", "job", job.id(), "state", job.state());
        finish(job, JobState.CANCELLED);
    }

    /** Handles progress that the store never accepts: its job cannot go on. */
    public synchronized void onProgressRejected(JobId id) {
        TrackedJob job = mJobs.get(id);
        if (job != null && !job.state().isFinal()) {
            mLog.record("job_failed", "job", id, "cause", "progress_rejected");
            finish(job, JobState.FAILED);
        }
    }

    private void onStateChanged(TrackedJob job, JobState state) {
        job.onStateChanged(state);
        if (state.isFinal()) {
            mUnfinishedJobs.remove(job);
            mEndedJobs.onFinal(job);
        }
    }

    private void finish(TrackedJob job, JobState state) {
        onStateChanged(job, state);
        stopRuns(job);
        mUnsavedJobs.add(job);
    }

    private void stopRuns(TrackedJob job) {
        for (TrackedTask task : job.tasks()) {
            task.run().ifPresent(run -> requestStop(run, job.state().name()));
        }
    }

    private void requestStop(TrackedRun run, String cause) {
        if (run.isStopping()) {
            return;
        }
        run.onStopRequested();
        mLog.record("run_stop", "run", run.id(), "agent", run.worker().agent(), "cause", cause);
        if (run.phase() == RunPhase.PERSISTING) {
            return;
        }
        sendStop(run);
    }

    private void sendStop(TrackedRun run) {
        TrackedWorker worker = run.worker();
        if (worker.isConnected()) {
            sendCommand(worker, stopCommand(worker, run.id()));
        }
    }

    private StopRun stopCommand(TrackedWorker worker, RunId run) {
        return new StopRun(mEpoch, worker.session(), worker.nextCommandNumber(), run);
    }

    private void sendCommand(TrackedWorker worker, org.hickorycleat.model.message.Message command) {
        if (!mOutput.send(worker.agent(), command)) {
            mLog.record("order_unsent", "agent", worker.agent(), "order", command);
        }
    }

    /**
     * Handles a new link of an agent.
     *
     * @return number of the new session, which must be sent to the agent before any command
     */
    public synchronized long onAgentConnected(ProcessId agent) {
        mLastSession++;
        worker(agent).onSessionOpened(mLastSession);
        mLog.record("agent_connected", "agent", agent, "session", mLastSession);
        return mLastSession;
    }

    /** Handles the loss of the link to an agent. */
    public synchronized void onAgentDisconnected(ProcessId agent) {
        worker(agent).onDisconnected();
        mLog.record("agent_disconnected", "agent", agent);
    }

    /** Handles the report of an agent on its worker. */
    public synchronized void onWorkerReport(ProcessId agent, WorkerReport report) {
        TrackedWorker worker = worker(agent);
        if (!report.epoch().equals(mEpoch) || !worker.isNewest(report)) {
            return;
        }
        Optional<WorkerIncarnation> before = worker.incarnation();
        boolean tookWork = worker.mayTakeWork();
        long leaseExpiredByMs =
                nowMs() + Math.min(report.leaseRemainingMs(), mSettings.maximumCertainExpiryMs());
        worker.onOwnerAdopted(Math.max(leaseExpiredByMs, nowMs() + mSettings.certainExpiryMs()));
        worker.onReport(report, nowMs());
        mZoneEvacuator.onReport(worker);
        if (!before.equals(worker.incarnation())) {
            // A new incarnation may have taken a deadline on the clock of the previous one.
            worker.onLeaseExtended(leaseExpiredByMs);
            mLog.record(
                    "worker_life",
                    "agent",
                    agent,
                    "life",
                    worker.incarnation(),
                    "lease_remaining_ms",
                    report.leaseRemainingMs());
        }
        report.ended().forEach(end -> onEnd(worker, end));
        reconcile(worker, report);
        mInterferenceEstimator.update(worker);
        sendWeights(worker);
        acknowledgeEnds(worker);
        extendLeaseIfDue(worker, report.number());
        boolean hasNewRoom = !report.ended().isEmpty() || worker.mayTakeWork() != tookWork;
        if (hasNewRoom) {
            placeAndFlush();
        } else {
            flush();
        }
    }

    private void extendLeaseIfDue(TrackedWorker worker, long reportNumber) {
        if (worker.isLeaseExtensionDue(nowMs())) {
            extendLease(worker, reportNumber);
        }
    }

    private void extendLease(TrackedWorker worker, long reportNumber) {
        int leaseMs = mOutput.mayExtendLeases() ? mSettings.leaseMs() : 0;
        if (leaseMs > 0) {
            worker.onLeaseExtended(nowMs() + mSettings.certainExpiryMs());
        }
        mOutput.send(
                worker.agent(),
                new LeaseExtension(
                        mEpoch,
                        reportNumber,
                        leaseMs,
                        worker.incarnation(),
                        worker.acknowledgedEndNumber()));
    }

    private void sendWeights(TrackedWorker worker) {
        if (!worker.areWeightsDue(nowMs())) {
            return;
        }
        List<InterferenceWeights.ImageWeight> weights = mInterferenceEstimator.weightsFor(worker);
        if (!weights.isEmpty()) {
            mOutput.send(worker.agent(), new InterferenceWeights(mEpoch, weights));
        }
    }

    private void acknowledgeEnds(TrackedWorker worker) {
        Optional<WorkerIncarnation> incarnation = worker.incarnation();
        long lastEndNumber = worker.lastEndNumber();
        if (lastEndNumber <= worker.acknowledgedEndNumber()) {
            return;
        }
        mActionsAfterDurable.add(
                () -> {
                    worker.onEndsDurable(incarnation, lastEndNumber);
                    mOutput.send(
                            worker.agent(),
                            new LeaseExtension(
                                    mEpoch, 0, 0, incarnation, worker.acknowledgedEndNumber()));
                });
    }

    private void reconcile(TrackedWorker worker, WorkerReport report) {
        long pendingExpiredByMs =
                nowMs()
                        + Math.min(
                                report.pendingLeaseRemainingMs(),
                                mSettings.unlistedStartExpiryMs());
        for (RunId pending : report.pending()) {
            worker.run(pending).ifPresent(run -> run.onUnlisted(pendingExpiredByMs));
        }
        if (report.leaseExpired()) {
            declareAllLost(worker, "lease_expired_at_agent");
            return;
        }
        if (report.incarnation().isEmpty()) {
            return;
        }
        Set<RunId> listed = new HashSet<>(report.pending());
        for (RunSample sample : report.running()) {
            listed.add(sample.run());
            onSample(worker, sample);
        }
        report.ended().forEach(end -> listed.add(end.run()));
        boolean complete = report.completeness() == ListCompleteness.COMPLETE;
        for (TrackedRun run : worker.runs()) {
            if (run.phase() == RunPhase.PERSISTING || !(complete || listed.contains(run.id()))) {
                continue;
            }
            boolean otherIncarnation = !run.incarnation().equals(report.incarnation().get());
            if (otherIncarnation && listed.contains(run.id())) {
                mLog.record("run_in_new_life", "run", run.id(), "agent", worker.agent());
                run.onIncarnationChanged(report.incarnation().get());
                mUnsavedJobs.add(run.task().step().job());
            } else if (otherIncarnation) {
                declareLost(run, "worker_restarted");
            } else if (!listed.contains(run.id())
                    && run.isProvenAbsentBy(report.session(), report.lastCommandNumber())) {
                declareLost(run, "not_on_worker");
            }
        }
    }

    private void onSample(TrackedWorker worker, RunSample sample) {
        Optional<TrackedRun> known = worker.run(sample.run());
        if (known.isEmpty()) {
            mLog.record("unknown_run", "run", sample.run(), "agent", worker.agent());
            sendCommand(worker, stopCommand(worker, sample.run()));
            return;
        }
        TrackedRun run = known.get();
        sendTraitsIfMissing(worker, run);
        run.onSample(sample.progressPercent(), sample.measurement(), worker.reportedAtMs());
        run.task().onCheckpoint(sample.checkpoint());
        onBegun(run.task().step().job());
        if (run.isStopping()) {
            sendStop(run);
        }
    }

    private void sendTraitsIfMissing(TrackedWorker worker, TrackedRun run) {
        boolean missing = run.lacksTraitsIn(worker.session());
        if (missing
                && mOutput.send(
                        worker.agent(), new RunTraits(mEpoch, run.id(), run.task().traits()))) {
            run.onTraitsSent(worker.session());
        }
    }

    private void onEnd(TrackedWorker worker, EndedRun end) {
        if (!worker.recordEndIfNew(end.number())) {
            return;
        }
        mLog.record(
                "run_ended",
                "run",
                end.run(),
                "agent",
                worker.agent(),
                "cause",
                end.cause(),
                "number",
                end.number());
        worker.run(end.run()).ifPresent(this::removeRun);
        TrackedJob job = mJobs.get(end.run().task().job());
        Optional<TrackedTask> task = job == null ? Optional.empty() : job.task(end.run().task());
        if (job == null || task.isEmpty()) {
            mLog.record("end_ignored", "run", end.run(), "reason", "no_such_task");
            return;
        }
        onBegun(job);
        onEnd(worker, job, task.get(), end);
        mUnsavedJobs.add(job);
    }

    // A start that was sent may not reach its worker; until a run is listed, the job waits.
    private void onBegun(TrackedJob job) {
        if (job.state() == JobState.QUEUED) {
            job.onStateChanged(JobState.RUNNING);
            mUnsavedJobs.add(job);
        }
    }

    private void onEnd(TrackedWorker worker, TrackedJob job, TrackedTask task, EndedRun end) {
        boolean current = task.run().isPresent() && task.run().get().id().equals(end.run());
        boolean longRunning = task.specification().longRunning();
        if (task.status() == TaskStatus.DONE) {
            return;
        }
        if (end.cause() == EndCause.DONE && !longRunning) {
            worker.health().onSuccess();
            task.run().filter(run -> run.id().equals(end.run())).ifPresent(this::recordRunTime);
            task.run().filter(run -> !run.id().equals(end.run())).ifPresent(this::stopSuperseded);
            onDone(task);
            completeIfDone(job);
            return;
        }
        if (end.cause() == EndCause.FAILED) {
            onFailure(worker, job, task, end.run().number());
        }
        if (current) {
            task.onCheckpoint(end.checkpoint());
            task.onPending(nowMs());
        }
    }

    private void onFailure(TrackedWorker worker, TrackedJob job, TrackedTask task, int run) {
        task.onFailure(run, worker.agent());
        if (worker.health().onFailure(nowMs())) {
            mLog.record("worker_set_aside", "agent", worker.agent(), "cause", "failures");
        }
        failIfAttemptsExhausted(job, task);
    }

    private void failIfAttemptsExhausted(TrackedJob job) {
        job.tasks().forEach(task -> failIfAttemptsExhausted(job, task));
    }

    // Without the settings of its queue, the job neither fails nor starts further runs.
    private void failIfAttemptsExhausted(TrackedJob job, TrackedTask task) {
        int failedRuns = task.failedRunCount();
        boolean exhausted =
                job.queue().filter(queue -> failedRuns >= queue.maximumAttempts()).isPresent();
        if (!exhausted || job.state().isFinal()) {
            return;
        }
        mLog.record(
                "job_failed",
                "job",
                job.id(),
                "task",
                task.key(),
                "failed_runs",
                failedRuns,
                "queue",
                job.queue(),
                "configuration",
                mQueues.configurationVersion());
        finish(job, JobState.FAILED);
    }

    private void recordRunTime(TrackedRun run) {
        if (run.phase() != RunPhase.RUNNING || run.task().checkpoint().isPresent()) {
            return;
        }
        QueueName queue = run.task().step().job().submission().queue();
        int estimateMs = run.task().specification().estimateMs();
        long actualMs = nowMs() - run.startSentAtMs();
        if (mRunTimeRatios.isRackAware() && run.isFar()) {
            mRunTimeRatios.recordFarRun(queue, estimateMs, actualMs);
        } else {
            mRunTimeRatios.recordRun(queue, estimateMs, actualMs);
        }
    }

    private static void onDone(TrackedTask task) {
        if (task.specification().gang()) {
            // The end of one member completes all of them.
            task.step().tasks().forEach(TrackedTask::onDone);
        } else {
            task.onDone();
        }
    }

    private void stopSuperseded(TrackedRun other) {
        requestStop(other, "done_elsewhere");
    }

    private void completeIfDone(TrackedJob job) {
        if (!job.state().isFinal() && job.isDone()) {
            mLog.record("job_completed", "job", job.id());
            onStateChanged(job, JobState.COMPLETED);
        }
    }

    private void removeRun(TrackedRun run) {
        run.worker().remove(run);
    }

    private void declareAllLost(TrackedWorker worker, String cause) {
        for (TrackedRun run : worker.runs()) {
            if (run.phase() != RunPhase.PERSISTING && !run.mayOutlastLease(nowMs())) {
                declareLost(run, cause);
            }
        }
    }

    private void declareLost(TrackedRun run, String cause) {
        mLog.record("run_given_up", "run", run.id(), "agent", run.worker().agent(), "cause", cause);
        removeRun(run);
        TrackedTask task = run.task();
        boolean current = task.run().isPresent() && task.run().get() == run;
        if (current && task.status() == TaskStatus.ACTIVE) {
            task.onPending(nowMs());
            mUnsavedJobs.add(task.step().job());
        }
    }

    /** Handles the rejection of a run that was not started. */
    public synchronized void onRunRejected(ProcessId agent, RunRejected rejection) {
        Optional<TrackedRun> run = worker(agent).run(rejection.run());
        if (run.isEmpty()) {
            return;
        }
        declareLost(run.get(), "rejected_" + rejection.reason());
        if (run.get().task().status() == TaskStatus.PENDING) {
            run.get().task().onPending(nowMs() + REJECTION_DELAY_MS);
        }
        placeAndFlush();
    }

    /** Checks leases and progress and places ready tasks; called several times a second. */
    public synchronized void tick() {
        for (TrackedWorker worker : mWorkers.values()) {
            if (worker.hasRuns() && worker.isLeaseCertainlyExpired(nowMs())) {
                declareAllLost(worker, "lease_expired");
            }
            mRunMonitor.check(worker, nowMs());
        }
        mZoneEvacuator.moveTasks(nowMs());
        saveInterferenceIfDue();
        publishBacklogsIfDue();
        logStatusIfDue();
        placeAndFlush();
    }

    private void logStatusIfDue() {
        if (nowMs() - mStatusLoggedAtMs < STATUS_LOG_INTERVAL_MS) {
            return;
        }
        WaitCounters waits = mRackPlacer.takeCounters();
        mLog.record(
                "dispatch_status",
                "unfinished_jobs",
                mUnfinishedJobs.size(),
                "runs",
                mWorkers.values().stream().mapToInt(worker -> worker.runs().size()).sum(),
                "available_workers",
                mWorkers.values().stream().filter(TrackedWorker::isAvailable).count(),
                "placement_ms",
                TimeUnit.NANOSECONDS.toMillis(mPlacementNanos),
                "interval_ms",
                nowMs() - mStatusLoggedAtMs,
                "rack_waiting",
                mRackPlacer.waiting(),
                "rack_waits",
                waits.begun(),
                "rack_waited_ms",
                waits.waitedMs(),
                "near_starts",
                waits.nearStarts(),
                "far_starts",
                waits.farStarts());
        mZoneEvacuator.logStatus();
        mStatusLoggedAtMs = nowMs();
        mPlacementNanos = 0;
    }

    private void publishBacklogsIfDue() {
        if (nowMs() - mBacklogEstimatedAtMs < BACKLOG_INTERVAL_MS) {
            return;
        }
        mBacklogEstimatedAtMs = nowMs();
        List<QueueBacklog> backlogs =
                mBacklogEstimator.estimate(
                        mUnfinishedJobs, mWorkers.values(), nowMs(), mUnixClockMs.getAsLong());
        if (mHasBacklog || !backlogs.isEmpty()) {
            mOutput.publishBacklogs(backlogs);
        }
        mHasBacklog = !backlogs.isEmpty();
    }

    private void saveInterferenceIfDue() {
        if (nowMs() - mInterferenceSavedAtMs < INTERFERENCE_SAVE_INTERVAL_MS) {
            return;
        }
        mInterferenceSavedAtMs = nowMs();
        List<InterferenceEstimate> weights = mInterferenceEstimator.snapshot();
        if (!weights.isEmpty()) {
            mLog.record("interference_learnt", "weights", weights.size());
            mOutput.saveInterferenceWeights(weights);
        }
    }

    private void placeAndFlush() {
        if (!mPlacementStopped) {
            placeIfDue();
        }
        flush();
    }

    // Bounds the processor share of placement, however many reports arrive.
    private void placeIfDue() {
        long nowNanos = nowNanos();
        if (nowNanos < mNextPlacementAtNanos) {
            if (!mPlacementScheduled) {
                mPlacementScheduled = true;
                mScheduler.scheduleDirect(
                        this::placeAfterPause,
                        mNextPlacementAtNanos - nowNanos,
                        TimeUnit.NANOSECONDS);
            }
            return;
        }
        mPlacer.place(nowMs(), mUnixClockMs.getAsLong());
        long endNanos = nowNanos();
        mPlacementNanos += endNanos - nowNanos;
        mNextPlacementAtNanos = endNanos + PLACEMENT_PAUSE_FACTOR * (endNanos - nowNanos);
    }

    private synchronized void placeAfterPause() {
        mPlacementScheduled = false;
        placeAndFlush();
    }

    private void startWhenDurable(TrackedRun run) {
        TrackedWorker worker = run.worker();
        TrackedJob job = run.task().step().job();
        mUnsavedJobs.add(job);
        mLog.record(
                "run_placed",
                "run",
                run.id(),
                "agent",
                worker.agent(),
                "free_milli",
                worker.freeProcessorsMilli(),
                "idle_milli",
                worker.idleProcessorsMilli(),
                "report_age_ms",
                nowMs() - worker.reportedAtMs());
        mActionsAfterDurable.add(() -> sendStart(run));
    }

    private void sendStart(TrackedRun run) {
        TrackedWorker worker = run.worker();
        boolean current = worker.run(run.id()).equals(Optional.of(run));
        if (!current) {
            return;
        }
        if (mZoneEvacuator.isInEvacuatedGang(run)) {
            // The others could not make progress without the members that are not started.
            run.task().step().tasks().stream()
                    .flatMap(task -> task.run().stream())
                    .filter(member -> member.phase() == RunPhase.PERSISTING)
                    .toList()
                    .forEach(member -> declareLost(member, "gang_in_evacuated_zone"));
            return;
        }
        boolean sendable =
                worker.mayTakeWork()
                        && worker.incarnation().equals(Optional.of(run.incarnation()))
                        && !run.isStopping();
        TrackedTask task = run.task();
        long commandNumber = sendable ? worker.nextCommandNumber() : 0;
        run.onStartSent(worker.session(), commandNumber, nowMs());
        run.onUnlisted(nowMs() + mSettings.unlistedStartExpiryMs());
        boolean sent =
                sendable
                        && mOutput.send(
                                worker.agent(),
                                new StartRun(
                                        mEpoch,
                                        worker.session(),
                                        commandNumber,
                                        run.incarnation(),
                                        run.id(),
                                        task.step().job().submission().payload(),
                                        task.checkpoint(),
                                        Optional.empty(),
                                        task.traits()));
        if (!sent) {
            declareLost(run, "never_sent");
        }
    }

    private void flush() {
        if (mPersisting || (mUnsavedJobs.isEmpty() && mActionsAfterDurable.isEmpty())) {
            publish(mPersisting ? List.of() : takeDurableStates());
            forgetEndedJobs();
            return;
        }
        List<JobProgress> progress = new ArrayList<>();
        List<JobStatus> states = takeDurableStates();
        // A run that outlives the end of its job has no progress to store.
        mUnsavedJobs.removeIf(job -> mJobs.get(job.id()) != job);
        for (TrackedJob job : mUnsavedJobs) {
            progress.add(job.progress());
            if (job.takeUnpublishedState()) {
                states.add(job.status());
            }
        }
        mUnsavedJobs.clear();
        List<Runnable> actions = new ArrayList<>(mActionsAfterDurable);
        mActionsAfterDurable.clear();
        if (progress.isEmpty()) {
            actions.forEach(Runnable::run);
            publish(states);
            return;
        }
        mPersisting = true;
        mOutput.persistProgress(progress, () -> onDurable(actions, states));
    }

    private synchronized void onDurable(List<Runnable> actions, List<JobStatus> states) {
        mPersisting = false;
        actions.forEach(Runnable::run);
        publish(states);
        forgetEndedJobs();
        placeAndFlush();
    }

    /** Persists records of its output that no progress takes along; does nothing while it waits. */
    public synchronized void persistWithoutProgress() {
        if (!mPersisting) {
            mPersisting = true;
            mOutput.persistProgress(List.of(), () -> onDurable(List.of(), List.of()));
        }
    }

    private void forgetEndedJobs() {
        if (mPersisting) {
            return;
        }
        List<TrackedJob> ended =
                mEndedJobs.takeEnded(
                        job -> !mUnsavedJobs.contains(job) && !mUnpublishedJobs.contains(job));
        for (TrackedJob job : ended) {
            mJobs.remove(job.id());
            mCancelledJobs.remove(job.id());
        }
    }

    /** Returns the number of jobs that the owner keeps. */
    public synchronized int jobCount() {
        return mJobs.size();
    }

    private List<JobStatus> takeDurableStates() {
        List<JobStatus> states = new ArrayList<>();
        for (TrackedJob job : mUnpublishedJobs) {
            if (!mUnsavedJobs.contains(job) && job.takeUnpublishedState()) {
                states.add(job.status());
            }
        }
        mUnpublishedJobs.clear();
        return states;
    }

    private void publish(List<JobStatus> states) {
        if (!states.isEmpty()) {
            mOutput.publishJobStates(states);
        }
    }

    /** Returns a line on each worker for the state dump. */
    public synchronized Collection<String> describeWorkers() {
        List<String> lines = new ArrayList<>();
        for (TrackedWorker worker : mWorkers.values()) {
            lines.add(
                    "agent="
                            + worker.agent()
                            + " available="
                            + worker.isAvailable()
                            + " evacuated="
                            + worker.isEvacuated()
                            + " runs="
                            + worker.runs().size()
                            + " free_milli="
                            + worker.freeProcessorsMilli());
        }
        return lines;
    }

    private long nowNanos() {
        return mScheduler.now(TimeUnit.NANOSECONDS);
    }

    private long nowMs() {
        return mScheduler.now(TimeUnit.MILLISECONDS);
    }
}
