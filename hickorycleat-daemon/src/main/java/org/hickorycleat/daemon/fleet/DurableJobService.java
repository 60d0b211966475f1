package org.hickorycleat.daemon.fleet;

import io.reactivex.rxjava3.core.Scheduler;
import io.reactivex.rxjava3.core.Single;
import io.reactivex.rxjava3.subjects.SingleSubject;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import org.hickorycleat.daemon.logging.EventLog;
import org.hickorycleat.logic.directory.JobDirectory;
import org.hickorycleat.logic.directory.JobRecord;
import org.hickorycleat.logic.port.JobChangeResult;
import org.hickorycleat.logic.port.JobService;
import org.hickorycleat.logic.port.JobStateResult;
import org.hickorycleat.logic.port.SingleCallbacks;
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

    /** Maximum time for reading the state of an unknown job, in milliseconds. */
    private static final long STATE_TIMEOUT_MS = 1_000;

    private final RelayingRecordStore mStore;
    private final TopicConsumer mConsumer;
    private final JobDirectory mDirectory;
    private final JobLogCodec mCodec;
    private final Supplier<Optional<WorkloadConfiguration>> mConfiguration;
    private final Listener mListener;
    private final Scheduler mScheduler;
    private final List<PendingChange> mQueue = new ArrayList<>();
    private boolean mAppending;

    /** Handles changes that have become durable. */
    interface Listener {
        /** Handles a submission that has become durable. */
        void onJobSubmitted(JobSubmission submission);

        /** Handles a cancellation that has become durable. */
        void onJobCancelled(JobId job);
    }

    /** A change whose record is not durable yet. */
    private static final class PendingChange {
        private final JobRecord mRecord;
        private final StoreRecord mStoreRecord;
        private final long mDeadlineMs;
        private final SingleSubject<JobChangeResult> mResult = SingleSubject.create();
        private boolean mMayBeCommitted;

        PendingChange(JobRecord record, StoreRecord storeRecord, long deadlineMs) {
            mRecord = record;
            mStoreRecord = storeRecord;
            mDeadlineMs = deadlineMs;
        }
    }

    DurableJobService(
            RelayingRecordStore store,
            TopicConsumer consumer,
            JobDirectory directory,
            JobLogCodec codec,
            Supplier<Optional<WorkloadConfiguration>> configuration,
            Listener listener,
            Scheduler scheduler) {
        mStore = store;
        mConsumer = consumer;
        mDirectory = directory;
        mCodec = codec;
        mConfiguration = configuration;
        mListener = listener;
        mScheduler = scheduler;
    }

    @Override
    public Optional<WorkloadConfiguration> configuration() {
        return mConfiguration.get();
    }

    @Override
    public Single<JobChangeResult> submit(JobQueue queue, JobSubmission submission, int timeoutMs) {
        if (mDirectory.jobState(submission.id()).isPresent()) {
            LOG.event("job_repeated").with("job", submission.id()).info();
            return Single.just(JobChangeResult.DONE);
        }
        return append(new JobRecord.Submitted(submission), timeoutMs)
                .doOnSuccess(
                        result ->
                                LOG.event("job_submitted")
                                        .with("job", submission.id())
                                        .with("queue", queue.name())
                                        .with("result", result)
                                        .info());
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
                            return append(new JobRecord.Cancelled(job), timeoutMs);
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

    private Single<JobChangeResult> append(JobRecord record, int timeoutMs) {
        if (mStore.isUnavailable()) {
            return Single.just(JobChangeResult.NOT_DONE);
        }
        PendingChange pending =
                new PendingChange(
                        record,
                        mCodec.encode(record),
                        nowMs() + Math.min(timeoutMs / 2, APPEND_TIMEOUT_MS));
        synchronized (this) {
            mQueue.add(pending);
        }
        appendNext();
        return pending.mResult;
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
            if (nowMs() >= pending.mDeadlineMs) {
                pending.mResult.onSuccess(
                        pending.mMayBeCommitted
                                ? JobChangeResult.UNKNOWN
                                : JobChangeResult.NOT_DONE);
            } else {
                retried.add(pending);
            }
        }
        synchronized (this) {
            mQueue.addAll(0, retried);
        }
        mScheduler.scheduleDirect(this::appendNext, RETRY_DELAY_MS, TimeUnit.MILLISECONDS);
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
