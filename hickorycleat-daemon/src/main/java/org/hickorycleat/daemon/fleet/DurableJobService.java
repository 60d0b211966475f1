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
 * Makes jobs and cancellations durable and answers questions about jobs.
 *
 * <p>A record that is appended twice has the effect of one, so an append without an answer is
 * simply repeated. A caller is told that its job was not taken only when no append of it can take
 * effect any more.
 */
final class DurableJobService implements JobService {
    private static final EventLog LOG = EventLog.of(DurableJobService.class);

    /** Most records of one append. */
    private static final int MAXIMUM_BATCH = 64;

    /** Pause before an append is repeated, in milliseconds. */
    private static final long RETRY_MS = 100;

    /** Time after which a request that cannot be made durable is given up, in milliseconds. */
    private static final long GIVE_UP_MS = 500;

    private final RelayingRecordStore mStore;
    private final TopicConsumer mFollower;
    private final JobDirectory mDirectory;
    private final JobLogCodec mCodec;
    private final Supplier<Optional<WorkloadConfiguration>> mConfiguration;
    private final Listener mListener;
    private final Scheduler mScheduler;
    private final List<Pending> mQueue = new ArrayList<>();
    private boolean mAppending;

    /** Learns of what has become durable. */
    interface Listener {
        /** A job is durable. */
        void onJobSubmitted(JobSubmission submission);

        /** A cancellation is durable. */
        void onJobCancelled(JobId job);
    }

    /** A record that waits to become durable. */
    private static final class Pending {
        private final JobRecord mRecord;
        private final StoreRecord mStored;
        private final long mGiveUpAtMs;
        private final SingleSubject<JobChangeResult> mResult = SingleSubject.create();
        private boolean mMayHaveTakenEffect;

        Pending(JobRecord record, StoreRecord stored, long giveUpAtMs) {
            mRecord = record;
            mStored = stored;
            mGiveUpAtMs = giveUpAtMs;
        }
    }

    DurableJobService(
            RelayingRecordStore store,
            TopicConsumer follower,
            JobDirectory directory,
            JobLogCodec codec,
            Supplier<Optional<WorkloadConfiguration>> configuration,
            Listener listener,
            Scheduler scheduler) {
        mStore = store;
        mFollower = follower;
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
    public Single<JobChangeResult> submit(
            JobQueue queue, JobSubmission submission, int timeLimitMs) {
        if (mDirectory.state(submission.id()).isPresent()) {
            LOG.event("job_repeated").with("job", submission.id()).info();
            return Single.just(JobChangeResult.DONE);
        }
        return append(new JobRecord.Submitted(submission), timeLimitMs)
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
        Optional<JobState> known = mDirectory.state(job);
        if (known.isPresent()) {
            return Single.just(new JobStateResult(true, known));
        }
        return mFollower
                .catchUp()
                .map(end -> new JobStateResult(true, mDirectory.state(job)))
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
    public Single<JobChangeResult> cancel(JobQueue queue, JobId job, int timeLimitMs) {
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
                            return append(new JobRecord.Cancelled(job), timeLimitMs);
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
        return mDirectory.waiting(queue.name());
    }

    /** Tells whether nothing waits to become durable. */
    synchronized boolean isIdle() {
        return mQueue.isEmpty() && !mAppending;
    }

    private Single<JobChangeResult> append(JobRecord record, int timeLimitMs) {
        if (mStore.isUnavailable()) {
            return Single.just(JobChangeResult.NOT_DONE);
        }
        Pending pending =
                new Pending(
                        record,
                        mCodec.encode(record),
                        nowMs() + Math.min(timeLimitMs / 2, GIVE_UP_MS));
        synchronized (this) {
            mQueue.add(pending);
        }
        appendNext();
        return pending.mResult;
    }

    private void appendNext() {
        List<Pending> batch;
        synchronized (this) {
            if (mAppending || mQueue.isEmpty()) {
                return;
            }
            batch = new ArrayList<>(mQueue.subList(0, Math.min(MAXIMUM_BATCH, mQueue.size())));
            mQueue.subList(0, batch.size()).clear();
            mAppending = true;
        }
        SingleCallbacks.subscribe(
                mStore.append(
                        StoreAppendRequest.unconditional(JobLogCodec.JOBS_TOPIC, 0),
                        batch.stream().map(pending -> pending.mStored).toList()),
                outcome -> onOutcome(batch, outcome),
                error -> onOutcome(batch, new AppendOutcome(AppendResult.UNKNOWN, 0)));
    }

    private void onOutcome(List<Pending> batch, AppendOutcome outcome) {
        synchronized (this) {
            mAppending = false;
        }
        if (outcome.result() == AppendResult.APPENDED) {
            batch.forEach(this::onDurable);
            appendNext();
            return;
        }
        List<Pending> again = new ArrayList<>();
        for (Pending pending : batch) {
            pending.mMayHaveTakenEffect |= outcome.result() == AppendResult.UNKNOWN;
            if (nowMs() >= pending.mGiveUpAtMs) {
                pending.mResult.onSuccess(
                        pending.mMayHaveTakenEffect
                                ? JobChangeResult.UNKNOWN
                                : JobChangeResult.NOT_DONE);
            } else {
                again.add(pending);
            }
        }
        synchronized (this) {
            mQueue.addAll(0, again);
        }
        mScheduler.scheduleDirect(this::appendNext, RETRY_MS, TimeUnit.MILLISECONDS);
    }

    private void onDurable(Pending pending) {
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
