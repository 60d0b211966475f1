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
import org.hickorycleat.logic.port.DecisionLog;
import org.hickorycleat.model.identifier.Epoch;
import org.hickorycleat.model.identifier.ProcessId;
import org.hickorycleat.model.job.EndCause;
import org.hickorycleat.model.job.EndedRun;
import org.hickorycleat.model.job.InterferenceEstimate;
import org.hickorycleat.model.job.JobId;
import org.hickorycleat.model.job.JobProgress;
import org.hickorycleat.model.job.JobQueue;
import org.hickorycleat.model.job.JobState;
import org.hickorycleat.model.job.JobStatus;
import org.hickorycleat.model.job.JobSubmission;
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
 * Decides for the owner of the jobs which task runs where.
 *
 * <p>Every start and every end is durable before anything outside follows from it. A run is given
 * up only when its end is listed, its worker has a new life, the agent proves that it is not there,
 * or its lease has certainly expired.
 */
public final class Dispatcher {
    /** Pause before a task starts again after a rejection, in milliseconds. */
    private static final long REJECTED_PAUSE_MS = 150;

    /** Pause after a round of placing, as a multiple of the time that it took. */
    private static final long PLACE_PAUSE_FACTOR = 3;

    /** Time between two copies of what was learnt of images, in milliseconds. */
    private static final long REMEMBER_INTERVAL_MS = 5_000;

    private final Epoch mEpoch;
    private final DispatchOutput mOutput;
    private final Scheduler mScheduler;
    private final LongSupplier mUnixClockMs;
    private final DispatchSettings mSettings;
    private final DecisionLog mLog;
    private final InterferenceEstimates mInterference = new InterferenceEstimates();
    private final RunMonitor mWatch;
    private final TaskPlacer mPlacer;
    private final RunTimeRatios mRunTimes = new RunTimeRatios();
    private final DispatchOrder mOrder = new DispatchOrder(mRunTimes);

    private final Map<JobId, TrackedJob> mJobs = new LinkedHashMap<>();
    private final Map<ProcessId, TrackedWorker> mWorkers = new LinkedHashMap<>();
    private final Set<TrackedJob> mDirty = new LinkedHashSet<>();
    private final List<Runnable> mAfterDurable = new ArrayList<>();
    private final Set<TrackedJob> mToPublish = new LinkedHashSet<>();
    private Optional<WorkloadConfiguration> mConfiguration = Optional.empty();
    private boolean mPersisting;
    private boolean mHalted;
    private long mLastSession;
    private long mPlaceNotBeforeNanos = Long.MIN_VALUE;
    private boolean mPlaceScheduled;
    private long mRememberedAtMs;

    /** Creates the dispatcher of an owner. */
    public Dispatcher(
            Epoch epoch,
            DispatchOutput output,
            Scheduler scheduler,
            LongSupplier unixClockMs,
            DispatchSettings settings,
            DecisionLog log) {
        mEpoch = epoch;
        mOutput = output;
        mScheduler = scheduler;
        mUnixClockMs = unixClockMs;
        mSettings = settings;
        mLog = log;
        mPlacer =
                new TaskPlacer(
                        new WorkerSelector(mInterference),
                        mOrder,
                        mJobs.values(),
                        mWorkers.values(),
                        this::start,
                        log);
        mWatch = new RunMonitor(task -> mPlacer.choose(task, nowMs()), this::stop, log);
    }

    /** Starts no further run: the owner is about to hand over. */
    public synchronized void stopPlacement() {
        mHalted = true;
    }

    /** Tells whether every decision so far is durable. */
    public synchronized boolean isDurable() {
        return !mPersisting && mDirty.isEmpty();
    }

    /** Takes the configuration in force. */
    public synchronized void onConfigurationChanged(WorkloadConfiguration configuration) {
        mConfiguration = Optional.of(configuration);
        mPlacer.onConfiguration(configuration);
        for (TrackedJob job : mJobs.values()) {
            configuration.queue(job.submission().queue()).ifPresent(job::onQueue);
        }
    }

    /** Takes over what a former owner learnt of images. */
    public synchronized void restoreInterferenceWeights(List<InterferenceEstimate> weights) {
        mInterference.restore(weights);
    }

    /** Takes a job and its durable progress from the log. */
    public synchronized void restoreJob(
            JobSubmission submission, Optional<JobProgress> progress, boolean cancelled) {
        if (mJobs.containsKey(submission.id())) {
            return;
        }
        TrackedJob job = new TrackedJob(submission, queue(submission));
        add(job);
        progress.ifPresent(known -> restoreJob(job, known));
        if (cancelled && !job.state().isFinal()) {
            cancel(job);
        }
        mToPublish.add(job);
    }

    private void restoreJob(TrackedJob job, JobProgress progress) {
        job.onState(progress.state());
        for (TaskProgress row : progress.tasks()) {
            TaskKey key = new TaskKey(job.id(), row.occurrence(), row.step(), row.index());
            Optional<TrackedTask> task = job.task(key);
            if (task.isEmpty()) {
                mLog.record("progress_ignored", "task", key, "reason", "no_such_task");
                continue;
            }
            task.get().restore(row);
            if (row.status() == TaskStatus.ACTIVE) {
                inherit(task.get(), row);
            }
        }
    }

    private void inherit(TrackedTask task, TaskProgress row) {
        if (row.agent().isEmpty() || row.incarnation().isEmpty()) {
            task.onPending(nowMs());
            return;
        }
        TrackedWorker worker = worker(row.agent().get());
        RunId id = new RunId(task.key(), row.run());
        TrackedRun run =
                new TrackedRun(id, task, worker, row.incarnation().get(), RunPhase.INHERITED);
        worker.add(run);
        task.onRun(run);
    }

    private void add(TrackedJob job) {
        job.onActive(nowMs());
        mJobs.put(job.id(), job);
        mOrder.onJob(job);
    }

    private JobQueue queue(JobSubmission submission) {
        return mConfiguration
                .flatMap(configuration -> configuration.queue(submission.queue()))
                .orElseGet(() -> JobQueue.removed(submission.queue()));
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

    /** Takes a job that is durable. */
    public synchronized void onJobSubmitted(JobSubmission submission) {
        if (mJobs.containsKey(submission.id())) {
            return;
        }
        TrackedJob job = new TrackedJob(submission, queue(submission));
        add(job);
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
        mToPublish.add(job);
        advance();
    }

    /** Takes a cancellation that is durable. */
    public synchronized void onJobCancelled(JobId id) {
        TrackedJob job = mJobs.get(id);
        if (job != null && !job.state().isFinal()) {
            cancel(job);
            advance();
        }
    }

    private void cancel(TrackedJob job) {
        mLog.record("job_cancelled", "job", job.id(), "state", job.state());
        finish(job, JobState.CANCELLED);
    }

    private void finish(TrackedJob job, JobState state) {
        job.onState(state);
        for (TrackedTask task : job.tasks()) {
            task.run().ifPresent(run -> stop(run, state.name()));
        }
        mDirty.add(job);
    }

    private void stop(TrackedRun run, String cause) {
        if (run.isStopping()) {
            return;
        }
        run.onStopOrdered();
        mLog.record("run_stop", "run", run.id(), "agent", run.worker().agent(), "cause", cause);
        if (run.phase() == RunPhase.PERSISTING) {
            return;
        }
        sendStop(run);
    }

    private void sendStop(TrackedRun run) {
        TrackedWorker worker = run.worker();
        if (worker.isConnected()) {
            sendOrder(worker, new StopRun(mEpoch, worker.nextOrder(), run.id()));
        }
    }

    private void sendOrder(TrackedWorker worker, org.hickorycleat.model.message.Message order) {
        if (!mOutput.send(worker.agent(), order)) {
            mLog.record("order_unsent", "agent", worker.agent(), "order", order);
        }
    }

    /**
     * An agent opened a link.
     *
     * @return number of the session, which the agent has to be told first
     */
    public synchronized long onAgentConnected(ProcessId agent) {
        mLastSession++;
        worker(agent).onSession(mLastSession);
        mLog.record("agent_connected", "agent", agent, "session", mLastSession);
        return mLastSession;
    }

    /** The link to an agent is gone. */
    public synchronized void onAgentDisconnected(ProcessId agent) {
        worker(agent).onDisconnected();
        mLog.record("agent_disconnected", "agent", agent);
    }

    /** Takes the state of a worker. */
    public synchronized void onWorkerReport(ProcessId agent, WorkerReport report) {
        TrackedWorker worker = worker(agent);
        if (!report.epoch().equals(mEpoch) || report.session() != worker.session()) {
            return;
        }
        Optional<WorkerIncarnation> before = worker.life();
        worker.onObeyed(nowMs() + mSettings.certainExpiryMs());
        worker.onReport(report, nowMs());
        if (!before.equals(worker.life())) {
            if (before.isPresent()) {
                // The first call to a new life still carries a deadline on the former clock.
                worker.onLeaseExtended(nowMs() + mSettings.longestCertainExpiryMs());
            }
            mLog.record("worker_life", "agent", agent, "life", worker.life());
        }
        report.ended().forEach(end -> onEnd(worker, end));
        reconcile(worker, report);
        mInterference.observe(worker);
        sendWeights(worker);
        acknowledgeEnds(worker);
        extendLease(worker, report.number());
        advance();
    }

    private void extendLease(TrackedWorker worker, long report) {
        int leaseMs = mOutput.mayExtendLeases() ? mSettings.leaseMs() : 0;
        if (leaseMs > 0) {
            worker.onLeaseExtended(nowMs() + mSettings.certainExpiryMs());
        }
        mOutput.send(
                worker.agent(),
                new LeaseExtension(
                        mEpoch, report, leaseMs, worker.life(), worker.acknowledgedEnds()));
    }

    private void sendWeights(TrackedWorker worker) {
        if (!worker.areWeightsDue(nowMs())) {
            return;
        }
        List<InterferenceWeights.ImageWeight> weights = mInterference.weights(worker);
        if (!weights.isEmpty()) {
            mOutput.send(worker.agent(), new InterferenceWeights(mEpoch, weights));
        }
    }

    private void acknowledgeEnds(TrackedWorker worker) {
        Optional<WorkerIncarnation> life = worker.life();
        long processed = worker.processedEnds();
        if (processed <= worker.acknowledgedEnds()) {
            return;
        }
        mAfterDurable.add(
                () -> {
                    worker.onEndsDurable(life, processed);
                    mOutput.send(
                            worker.agent(),
                            new LeaseExtension(mEpoch, 0, 0, life, worker.acknowledgedEnds()));
                });
    }

    private void reconcile(TrackedWorker worker, WorkerReport report) {
        if (report.leaseExpired()) {
            giveUpAll(worker, "lease_expired_at_agent");
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
        for (TrackedRun run : worker.runs()) {
            if (run.phase() == RunPhase.PERSISTING) {
                continue;
            }
            boolean otherLife = !run.life().equals(report.incarnation().get());
            if (otherLife && listed.contains(run.id())) {
                mLog.record("run_in_new_life", "run", run.id(), "agent", worker.agent());
                run.onLife(report.incarnation().get());
            } else if (otherLife) {
                giveUp(run, "worker_restarted");
            } else if (!listed.contains(run.id())
                    && run.isDisprovedBy(report.session(), report.lastCommandNumber())) {
                giveUp(run, "not_on_worker");
            }
        }
    }

    private void onSample(TrackedWorker worker, RunSample sample) {
        Optional<TrackedRun> known = worker.run(sample.run());
        if (known.isEmpty()) {
            mLog.record("unknown_run", "run", sample.run(), "agent", worker.agent());
            sendOrder(worker, new StopRun(mEpoch, worker.nextOrder(), sample.run()));
            return;
        }
        TrackedRun run = known.get();
        if (run.phase() == RunPhase.INHERITED) {
            mOutput.send(worker.agent(), new RunTraits(mEpoch, run.id(), run.task().traits()));
        }
        run.onSample(sample.progressPercent(), sample.measurement(), nowMs());
        run.task().onCheckpoint(sample.checkpoint());
        if (run.isStopping()) {
            sendStop(run);
        }
    }

    private void onEnd(TrackedWorker worker, EndedRun end) {
        if (!worker.isNewEnd(end.number())) {
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
        worker.run(end.run()).ifPresent(this::forget);
        TrackedJob job = mJobs.get(end.run().task().job());
        Optional<TrackedTask> task = job == null ? Optional.empty() : job.task(end.run().task());
        if (job == null || task.isEmpty()) {
            mLog.record("end_ignored", "run", end.run(), "reason", "no_such_task");
            return;
        }
        onEnd(worker, job, task.get(), end);
        mDirty.add(job);
    }

    private void onEnd(TrackedWorker worker, TrackedJob job, TrackedTask task, EndedRun end) {
        boolean current = task.run().isPresent() && task.run().get().id().equals(end.run());
        boolean lasts = task.specification().perpetual();
        if (task.status() == TaskStatus.DONE) {
            return;
        }
        if (end.cause() == EndCause.DONE && !lasts) {
            worker.health().onSuccess();
            task.run().filter(run -> run.id().equals(end.run())).ifPresent(this::learnRunTime);
            task.run().filter(run -> !run.id().equals(end.run())).ifPresent(this::supersede);
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
        if (!job.state().isFinal() && task.attemptsFailed() >= job.queue().maximumAttempts()) {
            mLog.record("job_failed", "job", job.id(), "task", task.key());
            finish(job, JobState.FAILED);
        }
    }

    private void learnRunTime(TrackedRun run) {
        if (run.phase() == RunPhase.RUNNING && run.task().checkpoint().isEmpty()) {
            mRunTimes.onDone(
                    run.task().step().job().queue().name(),
                    run.task().specification().estimateMs(),
                    nowMs() - run.orderedAtMs());
        }
    }

    private static void onDone(TrackedTask task) {
        if (task.specification().gang()) {
            // One end speaks for all members.
            task.step().tasks().forEach(TrackedTask::onDone);
        } else {
            task.onDone();
        }
    }

    private void supersede(TrackedRun other) {
        stop(other, "done_elsewhere");
    }

    private void completeIfDone(TrackedJob job) {
        if (!job.state().isFinal() && job.isDone()) {
            mLog.record("job_completed", "job", job.id());
            job.onState(JobState.COMPLETED);
        }
    }

    private void forget(TrackedRun run) {
        run.worker().remove(run);
    }

    private void giveUpAll(TrackedWorker worker, String cause) {
        for (TrackedRun run : worker.runs()) {
            if (run.phase() != RunPhase.PERSISTING) {
                giveUp(run, cause);
            }
        }
    }

    private void giveUp(TrackedRun run, String cause) {
        mLog.record("run_given_up", "run", run.id(), "agent", run.worker().agent(), "cause", cause);
        forget(run);
        TrackedTask task = run.task();
        boolean current = task.run().isPresent() && task.run().get() == run;
        if (current && task.status() == TaskStatus.ACTIVE) {
            task.onPending(nowMs());
            mDirty.add(task.step().job());
        }
    }

    /** The agent tells that a run was not started. */
    public synchronized void onRunRejected(ProcessId agent, RunRejected rejection) {
        Optional<TrackedRun> run = worker(agent).run(rejection.run());
        if (run.isEmpty()) {
            return;
        }
        giveUp(run.get(), "rejected_" + rejection.reason());
        if (run.get().task().status() == TaskStatus.PENDING) {
            run.get().task().onPending(nowMs() + REJECTED_PAUSE_MS);
        }
        advance();
    }

    /** Checks leases and progress and places what waits; called several times a second. */
    public synchronized void tick() {
        for (TrackedWorker worker : mWorkers.values()) {
            if (!worker.runs().isEmpty() && worker.isLeaseCertainlyOver(nowMs())) {
                giveUpAll(worker, "lease_expired");
            }
            mWatch.check(worker, nowMs());
        }
        rememberInterference();
        advance();
    }

    private void rememberInterference() {
        if (nowMs() - mRememberedAtMs < REMEMBER_INTERVAL_MS) {
            return;
        }
        mRememberedAtMs = nowMs();
        List<InterferenceEstimate> weights = mInterference.snapshot();
        if (!weights.isEmpty()) {
            mLog.record("interference_learnt", "weights", weights.size());
            mOutput.saveInterferenceWeights(weights);
        }
    }

    private void advance() {
        if (!mHalted) {
            placeIfDue();
        }
        flush();
    }

    // Placing takes a bounded part of the processor, however many reports come in.
    private void placeIfDue() {
        long nowNanos = nowNanos();
        if (nowNanos < mPlaceNotBeforeNanos) {
            if (!mPlaceScheduled) {
                mPlaceScheduled = true;
                mScheduler.scheduleDirect(
                        this::placeLater, mPlaceNotBeforeNanos - nowNanos, TimeUnit.NANOSECONDS);
            }
            return;
        }
        mPlacer.place(nowMs(), mUnixClockMs.getAsLong());
        long endNanos = nowNanos();
        mPlaceNotBeforeNanos = endNanos + PLACE_PAUSE_FACTOR * (endNanos - nowNanos);
    }

    private synchronized void placeLater() {
        mPlaceScheduled = false;
        advance();
    }

    private void start(TrackedRun run) {
        TrackedWorker worker = run.worker();
        TrackedJob job = run.task().step().job();
        if (job.state() == JobState.QUEUED) {
            job.onState(JobState.RUNNING);
        }
        mDirty.add(job);
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
        mAfterDurable.add(() -> order(run));
    }

    private void order(TrackedRun run) {
        TrackedWorker worker = run.worker();
        boolean current = worker.run(run.id()).equals(Optional.of(run));
        if (!current) {
            return;
        }
        boolean sendable =
                worker.isAvailable()
                        && worker.life().equals(Optional.of(run.life()))
                        && !run.isStopping();
        TrackedTask task = run.task();
        long order = sendable ? worker.nextOrder() : 0;
        run.onOrdered(worker.session(), order, nowMs());
        boolean sent =
                sendable
                        && mOutput.send(
                                worker.agent(),
                                new StartRun(
                                        mEpoch,
                                        order,
                                        run.life(),
                                        run.id(),
                                        task.step().job().submission().payload(),
                                        task.checkpoint(),
                                        Optional.empty(),
                                        task.traits()));
        if (!sent) {
            giveUp(run, "never_sent");
        }
    }

    private void flush() {
        if (mPersisting || (mDirty.isEmpty() && mAfterDurable.isEmpty())) {
            publish(mPersisting ? List.of() : takePublished());
            return;
        }
        List<JobProgress> progress = new ArrayList<>();
        List<JobStatus> states = takePublished();
        for (TrackedJob job : mDirty) {
            progress.add(job.progress());
            states.add(job.status());
        }
        mDirty.clear();
        List<Runnable> effects = new ArrayList<>(mAfterDurable);
        mAfterDurable.clear();
        if (progress.isEmpty()) {
            effects.forEach(Runnable::run);
            publish(states);
            return;
        }
        mPersisting = true;
        mOutput.persistProgress(progress, () -> onDurable(effects, states));
    }

    private synchronized void onDurable(List<Runnable> effects, List<JobStatus> states) {
        mPersisting = false;
        effects.forEach(Runnable::run);
        publish(states);
        advance();
    }

    private List<JobStatus> takePublished() {
        List<JobStatus> states = new ArrayList<>();
        for (TrackedJob job : mToPublish) {
            if (!mDirty.contains(job)) {
                states.add(job.status());
            }
        }
        mToPublish.clear();
        return states;
    }

    private void publish(List<JobStatus> states) {
        if (!states.isEmpty()) {
            mOutput.publishJobStates(states);
        }
    }

    /** Returns the workers, for the state dump. */
    public synchronized Collection<String> describeWorkers() {
        List<String> lines = new ArrayList<>();
        for (TrackedWorker worker : mWorkers.values()) {
            lines.add(
                    "agent="
                            + worker.agent()
                            + " available="
                            + worker.isAvailable()
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
