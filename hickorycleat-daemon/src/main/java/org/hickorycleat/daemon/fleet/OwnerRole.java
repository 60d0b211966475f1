package org.hickorycleat.daemon.fleet;

import io.reactivex.rxjava3.core.Scheduler;
import java.util.ArrayList;
import java.util.Collections;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.hickorycleat.daemon.logging.EventLog;
import org.hickorycleat.logic.directory.DurableJob;
import org.hickorycleat.logic.directory.IncarnationHistory;
import org.hickorycleat.logic.directory.JobDirectory;
import org.hickorycleat.logic.directory.JobRecord;
import org.hickorycleat.logic.directory.PastJobRemover;
import org.hickorycleat.logic.directory.ProgressPartitioner;
import org.hickorycleat.logic.dispatch.DispatchOutput;
import org.hickorycleat.logic.dispatch.DispatchSettings;
import org.hickorycleat.logic.dispatch.Dispatcher;
import org.hickorycleat.logic.election.LeaseAuthority;
import org.hickorycleat.logic.port.DecisionLog;
import org.hickorycleat.logic.port.SingleCallbacks;
import org.hickorycleat.model.identifier.Epoch;
import org.hickorycleat.model.identifier.ProcessId;
import org.hickorycleat.model.identifier.ZoneId;
import org.hickorycleat.model.job.InterferenceEstimate;
import org.hickorycleat.model.job.JobId;
import org.hickorycleat.model.job.JobProgress;
import org.hickorycleat.model.job.JobState;
import org.hickorycleat.model.job.JobStatus;
import org.hickorycleat.model.job.JobSubmission;
import org.hickorycleat.model.job.QueueBacklog;
import org.hickorycleat.model.job.WorkloadConfiguration;
import org.hickorycleat.model.message.FleetNode;
import org.hickorycleat.model.message.JobStates;
import org.hickorycleat.model.message.Message;
import org.hickorycleat.model.message.OwnerAnnouncement;
import org.hickorycleat.model.message.ProcessRole;
import org.hickorycleat.model.message.QueueBacklogs;
import org.hickorycleat.model.message.RunRejected;
import org.hickorycleat.model.message.WorkerReport;
import org.hickorycleat.model.store.AppendOutcome;
import org.hickorycleat.model.store.AppendResult;
import org.hickorycleat.model.store.Producer;
import org.hickorycleat.model.store.StoreAppendRequest;
import org.hickorycleat.model.store.StoreRecord;

/** Schedules all jobs during one epoch in which this process is the owner. */
final class OwnerRole implements DispatchOutput {
    /** Name of the producer that only owners use; its epoch fences previous owners. */
    static final String PRODUCER = "owner";

    private static final EventLog LOG = EventLog.of(OwnerRole.class);

    /** Interval between two checks of leases and progress, in milliseconds. */
    private static final long TICK_INTERVAL_MS = 100;

    /**
     * Time without a message from an agent after which another link to it is opened, in
     * milliseconds; three intervals of reports.
     */
    private static final long SILENT_AGENT_MS = 1_500;

    /** Delay before an append is retried, in milliseconds. */
    private static final long RETRY_DELAY_MS = 50;

    /** Delay before an append to a store without room is retried, in milliseconds. */
    private static final long FULL_STORE_RETRY_DELAY_MS = 1_000;

    /** Maximum number of records in one append; the size of an append is limited as well. */
    private static final int MAXIMUM_BATCH_RECORDS = 200;

    /** Age of a run above which its start does not matter any more, in milliseconds. */
    private static final long YOUNG_RUN_MS = 60_000;

    /** Start of an append that does not exist. */
    private static final long NOT_PENDING = Long.MAX_VALUE;

    private final FleetNode mSelf;
    private final Epoch mEpoch;
    private final RelayingRecordStore mStore;
    private final FleetLinks mLinks;
    private final JobDirectory mDirectory;
    private final IncarnationHistory mIncarnationHistory;
    private final JobLogCodec mCodec;
    private final Scheduler mScheduler;
    private final Consumer<QueueBacklogs> mOnBacklogs;
    private final Runnable mOnEnded;
    private final Dispatcher mDispatcher;
    private final ProgressPartitioner mPartitioner;
    private final PastJobRemover mPastJobRemover;
    private final LeaseAuthority mLeaseAuthority;
    private final Map<ProcessId, Long> mAnnouncedAtMs = new ConcurrentHashMap<>();
    private long mSequence;
    private volatile long mRetriedSequence;
    private volatile boolean mStopped;
    private volatile long mAppendPendingSinceMs = NOT_PENDING;

    OwnerRole(
            FleetNode self,
            Epoch epoch,
            RelayingRecordStore store,
            FleetLinks links,
            JobDirectory directory,
            IncarnationHistory incarnationHistory,
            JobLogCodec codec,
            Scheduler scheduler,
            DispatchSettings settings,
            int maximumRecordBytes,
            PastJobRemover pastJobRemover,
            DecisionLog log,
            Consumer<QueueBacklogs> onBacklogs,
            Runnable onEnded) {
        mSelf = self;
        mEpoch = epoch;
        mStore = store;
        mLinks = links;
        mDirectory = directory;
        mIncarnationHistory = incarnationHistory;
        mCodec = codec;
        mScheduler = scheduler;
        mOnBacklogs = onBacklogs;
        mOnEnded = onEnded;
        mPastJobRemover = pastJobRemover;
        mPartitioner = new ProgressPartitioner(maximumRecordBytes);
        mLeaseAuthority =
                new LeaseAuthority(
                        () -> scheduler.now(TimeUnit.MILLISECONDS), System::currentTimeMillis);
        mDispatcher =
                new Dispatcher(epoch, this, scheduler, System::currentTimeMillis, settings, log);
    }

    Epoch epoch() {
        return mEpoch;
    }

    LeaseAuthority leaseAuthority() {
        return mLeaseAuthority;
    }

    Dispatcher dispatcher() {
        return mDispatcher;
    }

    /**
     * Restores all jobs and announces the owner to every agent.
     *
     * @param evacuatedZones returns the availability zones that are evacuated now
     */
    void start(
            Optional<WorkloadConfiguration> configuration, Supplier<Set<ZoneId>> evacuatedZones) {
        mDispatcher.onEvacuationsChanged(evacuatedZones);
        configuration.ifPresent(mDispatcher::onConfigurationChanged);
        mDirectory.queues().forEach(mDispatcher::onQueueAccepting);
        mDispatcher.restoreInterferenceWeights(mDirectory.interferenceWeights());
        for (DurableJob job : mDirectory.jobs()) {
            job.submission()
                    .ifPresent(
                            submission ->
                                    GuardedTask.run(
                                            "restore_job",
                                            () ->
                                                    mDispatcher.restoreJob(
                                                            submission,
                                                            job.progress(),
                                                            job.isCancelled())));
        }
        long nowMs = mScheduler.now(TimeUnit.MILLISECONDS);
        mDispatcher.restoreIncarnationAges(mIncarnationHistory.newestAgesMs(nowMs));
        mDispatcher.restoreRunAges(mIncarnationHistory.runAgesMs(YOUNG_RUN_MS, nowMs));
        for (FleetNode agent : mLinks.connectedPeers(ProcessRole.AGENT)) {
            onAgentConnected(agent.process());
        }
        tick();
    }

    /** Opens a session with an agent and announces the owner to it. */
    void onAgentConnected(ProcessId agent) {
        long session = mDispatcher.onAgentConnected(agent);
        mAnnouncedAtMs.put(agent, mScheduler.now(TimeUnit.MILLISECONDS));
        mLinks.send(agent, new OwnerAnnouncement(mSelf.process(), mEpoch, session));
    }

    /** Stops scheduling; no message is sent and no record is stored afterwards. */
    void stop() {
        mStopped = true;
        mDispatcher.stopPlacement();
    }

    private void tick() {
        if (mStopped) {
            return;
        }
        boolean succeeded = runOrEnd(mDispatcher::tick) && runOrEnd(this::removePastJobsIfOverdue);
        // An agent reports when it learns of the owner, so one that does not has not heard of it.
        mAnnouncedAtMs.forEach(
                (agent, announcedAtMs) ->
                        mLinks.reopenIfSilent(agent, announcedAtMs, SILENT_AGENT_MS));
        if (succeeded) {
            mScheduler.scheduleDirect(this::tick, TICK_INTERVAL_MS, TimeUnit.MILLISECONDS);
        }
    }

    private void removePastJobsIfOverdue() {
        if (mPastJobRemover.isOverdue(mScheduler.now(TimeUnit.MILLISECONDS))) {
            mDispatcher.persistWithoutProgress();
        }
    }

    // Ends the role asynchronously, because the caller may hold the lock of the dispatcher.
    private boolean runOrEnd(Runnable task) {
        try {
            task.run();
            return true;
        } catch (RuntimeException e) {
            LOG.event("owner_failed").with("epoch", mEpoch).with("cause", e).warn();
            mScheduler.scheduleDirect(this::endUnlessStopped);
            return false;
        }
    }

    private void endUnlessStopped() {
        if (!mStopped) {
            mOnEnded.run();
        }
    }

    /** Handles the report of an agent on its worker. */
    void onWorkerReport(ProcessId agent, WorkerReport report) {
        runOrEnd(() -> mDispatcher.onWorkerReport(agent, report));
    }

    /** Handles the rejection of a run by an agent. */
    void onRunRejected(ProcessId agent, RunRejected rejection) {
        runOrEnd(() -> mDispatcher.onRunRejected(agent, rejection));
    }

    /** Returns the time for which the current append has been pending, in milliseconds; or 0. */
    long pendingAppendAgeMs() {
        return Math.max(0, mScheduler.now(TimeUnit.MILLISECONDS) - mAppendPendingSinceMs);
    }

    @Override
    public boolean send(ProcessId agent, Message message) {
        return !mStopped && mLinks.send(agent, message);
    }

    @Override
    public void persistProgress(List<JobProgress> progress, Runnable onDurable) {
        runOrEnd(() -> appendProgress(progress, onDurable));
    }

    private void appendProgress(List<JobProgress> progress, Runnable onDurable) {
        List<StoreRecord> records = new ArrayList<>();
        for (JobProgress job : progress) {
            Optional<JobSubmission> submission = mDirectory.submission(job.id());
            for (JobRecord part : mPartitioner.changedParts(submission, job)) {
                records.add(mCodec.encode(part));
            }
        }
        records.addAll(removals(MAXIMUM_BATCH_RECORDS - records.size()));
        appendRecords(records, onDurable);
    }

    private List<StoreRecord> removals(int maximumRecords) {
        long nowMs = mScheduler.now(TimeUnit.MILLISECONDS);
        List<StoreRecord> removals =
                mPastJobRemover.takeDue(nowMs, maximumRecords).stream()
                        .map(mCodec::encode)
                        .toList();
        if (!removals.isEmpty()) {
            LOG.event("past_jobs_removed")
                    .with("records", removals.size())
                    .with("past_jobs", mDirectory.pastJobCount())
                    .with("tombstones", mDirectory.tombstoneCount())
                    .info();
        }
        return removals;
    }

    private void appendRecords(List<StoreRecord> records, Runnable onDurable) {
        if (records.isEmpty()) {
            onDurable.run();
            return;
        }
        List<StoreRecord> next =
                records.subList(0, Math.min(MAXIMUM_BATCH_RECORDS, records.size()));
        int size = RecordBatch.prefixLength(next, RecordBatch.MAXIMUM_APPEND_BYTES);
        List<StoreRecord> rest = records.subList(size, records.size());
        mSequence++;
        mAppendPendingSinceMs = mScheduler.now(TimeUnit.MILLISECONDS);
        append(next.subList(0, size), mSequence, () -> appendRecords(rest, onDurable));
    }

    private void append(List<StoreRecord> batch, long sequence, Runnable onDurable) {
        if (mStopped) {
            return;
        }
        StoreAppendRequest request =
                new StoreAppendRequest(
                        JobLogCodec.JOBS_TOPIC,
                        0,
                        Optional.empty(),
                        Optional.of(new Producer(PRODUCER, mEpoch.value(), sequence)));
        SingleCallbacks.subscribe(
                mStore.append(request, batch),
                outcome -> onOutcome(batch, sequence, outcome, onDurable),
                error ->
                        onOutcome(
                                batch,
                                sequence,
                                new AppendOutcome(AppendResult.UNKNOWN, 0),
                                onDurable));
    }

    private void onOutcome(
            List<StoreRecord> batch, long sequence, AppendOutcome outcome, Runnable onDurable) {
        // The outcome may arrive when this process is the owner of a later epoch.
        if (mStopped) {
            return;
        }
        boolean alreadyAppended =
                outcome.result() == AppendResult.SEQUENCE_GAP && outcome.offset() > sequence;
        if (outcome.result() == AppendResult.APPENDED || alreadyAppended) {
            mAppendPendingSinceMs = NOT_PENDING;
            runOrEnd(onDurable);
            return;
        }
        boolean fenced =
                outcome.result() == AppendResult.FENCED
                        || outcome.result() == AppendResult.SEQUENCE_GAP;
        if (fenced) {
            LOG.event("owner_fenced").with("epoch", mEpoch).with("result", outcome).warn();
            mOnEnded.run();
            return;
        }
        if (outcome.result() == AppendResult.INVALID) {
            onInvalid(batch, sequence, onDurable);
            return;
        }
        if (sequence != mRetriedSequence) {
            mRetriedSequence = sequence;
            logRetry(batch, sequence, outcome);
        }
        long delayMs = RETRY_DELAY_MS;
        if (outcome.result() == AppendResult.FULL) {
            // The store responds, so another owner could not append either.
            mAppendPendingSinceMs = mScheduler.now(TimeUnit.MILLISECONDS);
            delayMs = FULL_STORE_RETRY_DELAY_MS;
        }
        mScheduler.scheduleDirect(
                () -> append(batch, sequence, onDurable), delayMs, TimeUnit.MILLISECONDS);
    }

    // A rejected append has not used its sequence number. One record that can never be stored must
    // not hold up the others, so it is found by halving; its job fails.
    private void onInvalid(List<StoreRecord> batch, long sequence, Runnable onDurable) {
        if (batch.size() > 1) {
            int half = batch.size() / 2;
            append(
                    batch.subList(0, half),
                    sequence,
                    () -> {
                        mSequence++;
                        append(batch.subList(half, batch.size()), mSequence, onDurable);
                    });
            return;
        }
        StoreRecord record = batch.get(0);
        LOG.event("record_rejected")
                .with("key", record.key())
                .with("bytes", record.value().length)
                .warn();
        Optional<JobProgress> failed =
                mCodec.decode(record).flatMap(OwnerRole::progress).map(OwnerRole::failed);
        StoreRecord replacement =
                failed.map(JobRecord.Progressed::new).map(mCodec::encode).orElse(record);
        mSequence--;
        boolean replaced = failed.isPresent() && replacement.value().length < record.value().length;
        if (!replaced) {
            mAppendPendingSinceMs = NOT_PENDING;
            runOrEnd(onDurable);
            return;
        }
        runOrEnd(() -> mDispatcher.onProgressRejected(failed.get().id()));
        runOrEnd(() -> appendRecords(List.of(replacement), onDurable));
    }

    private static Optional<JobProgress> progress(JobRecord record) {
        if (record instanceof JobRecord.Progressed progressed) {
            return Optional.of(progressed.progress());
        }
        return record instanceof JobRecord.ProgressedPart part
                ? Optional.of(part.progress())
                : Optional.empty();
    }

    private static JobProgress failed(JobProgress progress) {
        return new JobProgress(progress.id(), JobState.FAILED, List.of());
    }

    private static void logRetry(List<StoreRecord> batch, long sequence, AppendOutcome outcome) {
        StoreRecord largest =
                Collections.max(batch, Comparator.comparingInt(record -> record.value().length));
        LOG.event("append_retried")
                .with("sequence", sequence)
                .with("result", outcome.result())
                .with("records", batch.size())
                .with("largest_key", largest.key())
                .with("largest_bytes", largest.value().length)
                .warn();
    }

    @Override
    public boolean isPast(JobId job) {
        return mDirectory.isPast(job);
    }

    @Override
    public void publishJobStates(List<JobStatus> states) {
        if (mStopped) {
            return;
        }
        states.forEach(mDirectory::onJobStateChanged);
        mLinks.broadcast(new JobStates(states), ProcessRole.ENTRY);
    }

    @Override
    public void publishBacklogs(List<QueueBacklog> backlogs) {
        if (mStopped) {
            return;
        }
        QueueBacklogs message = new QueueBacklogs(mEpoch, backlogs);
        mOnBacklogs.accept(message);
        mLinks.broadcast(message, ProcessRole.ENTRY);
    }

    @Override
    public void saveInterferenceWeights(List<InterferenceEstimate> weights) {
        if (mStopped) {
            return;
        }
        SingleCallbacks.subscribe(
                mStore.append(
                        StoreAppendRequest.unconditional(JobLogCodec.JOBS_TOPIC, 0),
                        List.of(mCodec.encode(new JobRecord.InterferenceUpdate(weights)))),
                outcome -> {
                    if (outcome.result() != AppendResult.APPENDED) {
                        LOG.event("interference_unstored").with("result", outcome.result()).info();
                    }
                },
                error -> LOG.event("interference_unstored").with("result", error).info());
    }

    @Override
    public boolean mayExtendLeases() {
        return !mStopped && mLeaseAuthority.mayExtendLeases(mStore.lastContactAgeMs());
    }
}
