package org.hickorycleat.daemon.fleet;

import io.reactivex.rxjava3.core.Scheduler;
import io.reactivex.rxjava3.core.Single;
import io.reactivex.rxjava3.subjects.SingleSubject;
import java.util.ArrayList;
import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import org.hickorycleat.daemon.logging.EventLog;
import org.hickorycleat.logic.directory.JobDirectory;
import org.hickorycleat.logic.directory.JobRecord;
import org.hickorycleat.logic.port.JobChangeResult;
import org.hickorycleat.logic.port.JobService;
import org.hickorycleat.logic.port.JobStateResult;
import org.hickorycleat.logic.port.SingleCallbacks;
import org.hickorycleat.logic.port.SubmissionResult;
import org.hickorycleat.model.job.JobId;
import org.hickorycleat.model.job.JobQueue;
import org.hickorycleat.model.job.JobState;
import org.hickorycleat.model.job.JobSubmission;
import org.hickorycleat.model.job.WorkloadConfiguration;
import org.hickorycleat.model.store.AppendOutcome;
import org.hickorycleat.model.store.AppendResult;
import org.hickorycleat.model.store.StoreAppendRequest;
import org.hickorycleat.model.store.StoreRecord;

/**
 * Makes submissions and cancellations of jobs durable, and returns the state of jobs.
 *
 * <p>A duplicate of a record has no further effect, so an append without a response is retried. A
 * caller gets the result NOT_DONE only if no append of its change can be committed any more.
 */
final class DurableJobService implements JobService {
    private static final EventLog LOG = EventLog.of(DurableJobService.class);

    /** Maximum number of records of one append; the size of an append is limited as well. */
    private static final int MAXIMUM_BATCH_RECORDS = 64;

    /** Delay before an append is retried, in milliseconds. */
    private static final long RETRY_DELAY_MS = 100;

    /** Maximum time for retrying an append, in milliseconds; at most half the request timeout. */
    private static final long APPEND_TIMEOUT_MS = 500;

    /**
     * Share of the request timeout for which an append that may have been committed is retried: a
     * caller that learns the outcome needs no further attempt.
     */
    private static final int SETTLE_PERCENT = 75;

    /** Maximum time for reading whether a job to be rejected was accepted, in milliseconds. */
    private static final long REJECTION_READ_TIMEOUT_MS = 300;

    /** Maximum number of changes whose outcome is remembered as unknown. */
    private static final int MAXIMUM_UNCERTAIN_KEYS = 2_000;

    /** Maximum time for reading the state of an unknown job, in milliseconds. */
    private static final long STATE_TIMEOUT_MS = 1_000;

    private final RelayingRecordStore mStore;
    private final TopicConsumer mConsumer;
    private final JobDirectory mDirectory;
    private final JobLogCodec mCodec;
    private final Supplier<Optional<WorkloadConfiguration>> mConfiguration;
    private final AdmissionPolicy mAdmission;
    private final Listener mListener;
    private final Scheduler mScheduler;
    private final int mMaximumRecordBytes;
    private final List<PendingChange> mQueue = new ArrayList<>();
    private final Set<String> mUncertainKeys =
            Collections.newSetFromMap(
                    new LinkedHashMap<>() {
                        @Override
                        protected boolean removeEldestEntry(Map.Entry<String, Boolean> eldest) {
                            return size() > MAXIMUM_UNCERTAIN_KEYS;
                        }
                    });
    private boolean mAppending;

    /** Handles changes that have become durable. */
    interface Listener {
        /** Handles a submission that has become durable. */
        void onJobSubmitted(JobSubmission submission);

        /** Handles a cancellation that has become durable. */
        void onJobCancelled(JobId job);
    }

    /** Decides which jobs are rejected for load. */
    @FunctionalInterface
    interface AdmissionPolicy {
        /** Accepts every job. */
        AdmissionPolicy ACCEPT_ALL = (queue, submission) -> Optional.empty();

        /**
         * Returns the time after which the caller of a rejected job should return, in milliseconds;
         * empty if the job is accepted.
         */
        Optional<Long> rejectUntilMs(JobQueue queue, JobSubmission submission);
    }

    /** A change whose record is not durable yet. */
    private static final class PendingChange {
        private final JobRecord mRecord;
        private final StoreRecord mStoreRecord;
        private final long mDeadlineMs;
        private final long mSettleByMs;
        private final SingleSubject<JobChangeResult> mResult = SingleSubject.create();
        private boolean mMayBeCommitted;
        private boolean mAppendedAlone;

        PendingChange(
                JobRecord record,
                StoreRecord storeRecord,
                long deadlineMs,
                long settleByMs,
                boolean mayBeCommitted) {
            mRecord = record;
            mStoreRecord = storeRecord;
            mDeadlineMs = deadlineMs;
            mSettleByMs = settleByMs;
            mMayBeCommitted = mayBeCommitted;
        }

        boolean isTimedOut(long nowMs) {
            return nowMs >= (mMayBeCommitted ? mSettleByMs : mDeadlineMs);
        }

        JobChangeResult failure() {
            return mMayBeCommitted ? JobChangeResult.UNKNOWN : JobChangeResult.NOT_DONE;
        }
    }

    DurableJobService(
            RelayingRecordStore store,
            TopicConsumer consumer,
            JobDirectory directory,
            JobLogCodec codec,
            Supplier<Optional<WorkloadConfiguration>> configuration,
            AdmissionPolicy admission,
            Listener listener,
            Scheduler scheduler,
            int maximumRecordBytes) {
        mStore = store;
        mConsumer = consumer;
        mDirectory = directory;
        mCodec = codec;
        mConfiguration = configuration;
        mAdmission = admission;
        mListener = listener;
        mScheduler = scheduler;
        mMaximumRecordBytes = maximumRecordBytes;
    }

    @Override
    public Optional<WorkloadConfiguration> configuration() {
        return mConfiguration.get();
    }

    @Override
    public Single<SubmissionResult> submit(
            JobQueue queue, JobSubmission submission, int timeoutMs) {
        if (mDirectory.jobState(submission.id()).isPresent()) {
            LOG.event("job_repeated").with("job", submission.id()).info();
            return Single.just(SubmissionResult.of(JobChangeResult.DONE));
        }
        Optional<Long> returnAfterMs = mAdmission.rejectUntilMs(queue, submission);
        Single<SubmissionResult> result =
                returnAfterMs.isPresent()
                        ? rejectUnlessAccepted(queue, submission, returnAfterMs.get(), timeoutMs)
                        : append(queue, submission, timeoutMs);
        return result.doOnSuccess(
                response ->
                        LOG.event("job_submitted")
                                .with("job", submission.id())
                                .with("queue", queue.name())
                                .with("result", response.result())
                                .with("return_after_ms", response.returnAfterMs())
                                .info());
    }

    // Another entry may have accepted the job although its response was lost. Without proof that it
    // did not, the job is accepted here as well.
    private Single<SubmissionResult> rejectUnlessAccepted(
            JobQueue queue, JobSubmission submission, long returnAfterMs, int timeoutMs) {
        return mConsumer
                .catchUp(REJECTION_READ_TIMEOUT_MS)
                .flatMap(
                        endOffset -> {
                            if (mDirectory.jobState(submission.id()).isPresent()) {
                                return Single.just(SubmissionResult.of(JobChangeResult.DONE));
                            }
                            return isUncertain(submission)
                                    ? append(queue, submission, timeoutMs)
                                    : Single.just(SubmissionResult.rejected(returnAfterMs));
                        })
                .onErrorResumeNext(error -> append(queue, submission, timeoutMs));
    }

    private synchronized boolean isUncertain(JobSubmission submission) {
        return mUncertainKeys.contains(mCodec.encode(new JobRecord.Submitted(submission)).key());
    }

    // The settings of the queue precede its first job in the log, so that they outlast its
    // configuration.
    private Single<SubmissionResult> append(
            JobQueue queue, JobSubmission submission, int timeoutMs) {
        List<JobRecord> records = new ArrayList<>();
        JobRecord settings = new JobRecord.QueueAccepting(queue);
        boolean stored = mDirectory.queue(queue.name()).equals(Optional.of(queue));
        if (!stored && isStorable(mCodec.encode(settings))) {
            records.add(settings);
        }
        records.add(new JobRecord.Submitted(submission));
        return append(records, timeoutMs).map(SubmissionResult::of);
    }

    @Override
    public Single<JobStateResult> jobState(JobQueue queue, JobId job) {
        Optional<JobState> state = mDirectory.jobState(job);
        if (state.isPresent()) {
            return Single.just(new JobStateResult(true, state));
        }
        return mConsumer
                .catchUp(STATE_TIMEOUT_MS)
                .map(endOffset -> new JobStateResult(true, mDirectory.jobState(job)))
                .onErrorReturnItem(new JobStateResult(false, Optional.empty()))
                .doOnSuccess(
                        result ->
                                LOG.event("job_unknown")
                                        .with("job", job)
                                        .with("certain", result.known())
                                        .with("state", result.state())
                                        .info());
    }

    @Override
    public Single<JobChangeResult> cancel(JobQueue queue, JobId job, int timeoutMs) {
        return jobState(queue, job)
                .flatMap(
                        result -> {
                            if (!result.known()) {
                                return Single.just(JobChangeResult.NOT_DONE);
                            }
                            if (result.state().isEmpty()) {
                                return Single.just(JobChangeResult.NO_SUCH_JOB);
                            }
                            if (result.state().get().isFinal()) {
                                return Single.just(JobChangeResult.DONE);
                            }
                            return append(List.of(new JobRecord.Cancelled(job)), timeoutMs);
                        })
                .doOnSuccess(
                        result ->
                                LOG.event("job_cancel")
                                        .with("job", job)
                                        .with("result", result)
                                        .info());
    }

    @Override
    public int waitingJobCount(JobQueue queue) {
        return mDirectory.waitingJobCount(queue.name());
    }

    /** Returns whether no change waits to become durable. */
    synchronized boolean isIdle() {
        return mQueue.isEmpty() && !mAppending;
    }

    /** Appends records in their order and returns the result of the last one. */
    private Single<JobChangeResult> append(List<JobRecord> records, int timeoutMs) {
        List<PendingChange> changes =
                records.stream().map(record -> pendingChange(record, timeoutMs)).toList();
        PendingChange last = changes.get(changes.size() - 1);
        if (!isStorable(last.mStoreRecord)) {
            return Single.just(JobChangeResult.TOO_LARGE);
        }
        if (mStore.isUnavailable()) {
            return Single.just(last.failure());
        }
        synchronized (this) {
            mQueue.addAll(changes);
        }
        appendNext();
        return last.mResult;
    }

    private boolean isStorable(StoreRecord record) {
        return RecordBatch.isStorable(record, mMaximumRecordBytes);
    }

    private synchronized PendingChange pendingChange(JobRecord record, int timeoutMs) {
        long deadlineMs = nowMs() + Math.min(timeoutMs / 2, APPEND_TIMEOUT_MS);
        long settleByMs = nowMs() + timeoutMs * (long) SETTLE_PERCENT / 100;
        StoreRecord storeRecord = mCodec.encode(record);
        // An append of an earlier attempt may still take effect.
        boolean mayBeCommitted = mUncertainKeys.contains(storeRecord.key());
        return new PendingChange(record, storeRecord, deadlineMs, settleByMs, mayBeCommitted);
    }

    private void appendNext() {
        List<PendingChange> batch;
        synchronized (this) {
            if (mAppending || mQueue.isEmpty()) {
                return;
            }
            batch = new ArrayList<>(mQueue.subList(0, nextBatchLength()));
            mQueue.subList(0, batch.size()).clear();
            mAppending = true;
        }
        SingleCallbacks.subscribe(
                mStore.append(
                        StoreAppendRequest.unconditional(JobLogCodec.JOBS_TOPIC, 0),
                        batch.stream().map(pending -> pending.mStoreRecord).toList()),
                outcome -> onOutcome(batch, outcome),
                error -> onOutcome(batch, new AppendOutcome(AppendResult.UNKNOWN, 0)));
    }

    private int nextBatchLength() {
        if (mQueue.get(0).mAppendedAlone) {
            return 1;
        }
        List<StoreRecord> records =
                mQueue.stream()
                        .limit(MAXIMUM_BATCH_RECORDS)
                        .map(pending -> pending.mStoreRecord)
                        .toList();
        return RecordBatch.prefixLength(records, RecordBatch.MAXIMUM_APPEND_BYTES);
    }

    private void onOutcome(List<PendingChange> batch, AppendOutcome outcome) {
        synchronized (this) {
            mAppending = false;
        }
        if (outcome.result() == AppendResult.APPENDED) {
            batch.forEach(this::onDurable);
            appendNext();
            return;
        }
        List<PendingChange> retried = new ArrayList<>();
        for (PendingChange pending : batch) {
            pending.mMayBeCommitted |= outcome.result() == AppendResult.UNKNOWN;
            // One record that the store never accepts must not hold up the others.
            boolean invalid = outcome.result() == AppendResult.INVALID;
            pending.mAppendedAlone |= invalid;
            if (pending.isTimedOut(nowMs()) || (invalid && batch.size() == 1)) {
                onFailed(pending);
            } else {
                retried.add(pending);
            }
        }
        synchronized (this) {
            mQueue.addAll(0, retried);
        }
        mScheduler.scheduleDirect(this::appendNext, RETRY_DELAY_MS, TimeUnit.MILLISECONDS);
    }

    private void onFailed(PendingChange pending) {
        if (pending.mMayBeCommitted) {
            synchronized (this) {
                mUncertainKeys.add(pending.mStoreRecord.key());
            }
        }
        pending.mResult.onSuccess(pending.failure());
    }

    private void onDurable(PendingChange pending) {
        mDirectory.apply(pending.mRecord);
        if (pending.mRecord instanceof JobRecord.Submitted submitted) {
            mListener.onJobSubmitted(submitted.submission());
        } else if (pending.mRecord instanceof JobRecord.Cancelled cancelled) {
            mListener.onJobCancelled(cancelled.job());
        }
        pending.mResult.onSuccess(JobChangeResult.DONE);
    }

    private long nowMs() {
        return mScheduler.now(TimeUnit.MILLISECONDS);
    }
}
