package org.hickorycleat.daemon.fleet;

import static org.assertj.core.api.Assertions.assertThat;

import io.reactivex.rxjava3.core.Single;
import io.reactivex.rxjava3.schedulers.TestScheduler;
import io.reactivex.rxjava3.subjects.SingleSubject;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.hickorycleat.logic.directory.JobDirectory;
import org.hickorycleat.logic.port.JobChangeResult;
import org.hickorycleat.logic.port.RecordStore;
import org.hickorycleat.logic.port.SubmissionResult;
import org.hickorycleat.model.identifier.ServiceName;
import org.hickorycleat.model.job.JobId;
import org.hickorycleat.model.job.JobQueue;
import org.hickorycleat.model.job.JobSubmission;
import org.hickorycleat.model.job.QueueName;
import org.hickorycleat.model.store.AppendOutcome;
import org.hickorycleat.model.store.AppendResult;
import org.hickorycleat.model.store.StoreAppendRequest;
import org.hickorycleat.model.store.StorePage;
import org.hickorycleat.model.store.StoreReadRequest;
import org.hickorycleat.model.store.StoreRecord;
import org.junit.jupiter.api.Test;

class DurableJobServiceTest {
    private static final int JOBS = 60;
    private static final int PAYLOAD_BYTES = 40_000;
    private static final int TIMEOUT_MS = 3_000;
    private static final JobQueue QUEUE = queue("q");

    /** Longest append that a slow link carries within the timeout of the store, in bytes. */
    private static final long MAXIMUM_APPEND_BYTES = 320 << 10;

    private static final int MAXIMUM_RECORD_BYTES = 262_144;

    private final TestScheduler mScheduler = new TestScheduler();
    private final RecordingStore mStore = new RecordingStore();
    private final JobDirectory mDirectory = new JobDirectory(() -> 0);
    private final RelayingRecordStore mRelayingStore =
            new RelayingRecordStore(mStore, (peer, message) -> false, Optional::empty, mScheduler);
    private Optional<Long> mReturnAfterMs = Optional.empty();
    private final List<JobId> mDurable = new ArrayList<>();
    private final DurableJobService mService =
            new DurableJobService(
                    mRelayingStore,
                    new TopicConsumer(
                            mRelayingStore,
                            JobLogCodec.JOBS_TOPIC,
                            record -> {},
                            mScheduler,
                            1_000,
                            500),
                    mDirectory,
                    new JobLogCodec(),
                    Optional::empty,
                    (queue, submission) -> mReturnAfterMs,
                    new DurableJobService.Listener() {
                        @Override
                        public void onJobSubmitted(JobSubmission submission) {
                            mDurable.add(submission.id());
                        }

                        @Override
                        public void onJobCancelled(JobId job) {}
                    },
                    mScheduler,
                    MAXIMUM_RECORD_BYTES);

    private static JobQueue queue(String name) {
        return new JobQueue(
                new QueueName(name),
                "host",
                "/q/",
                new ServiceName("s"),
                0,
                4,
                2,
                1_000,
                3_000,
                Optional.empty());
    }

    private static JobSubmission submission(int number) {
        return new JobSubmission(
                new JobId("job-" + (1_000 + number)),
                new QueueName("q"),
                "x".repeat(PAYLOAD_BYTES),
                List.of(),
                0,
                0,
                0,
                7);
    }

    /** Guards against an append that the store, a frame or a slow link cannot carry. */
    @Test
    void boundsAppendOfManyLargeSubmissions() {
        SingleSubject<AppendOutcome> first = SingleSubject.create();
        mStore.setOutcome(first);
        List<JobChangeResult> results = new ArrayList<>();
        for (int i = 0; i < JOBS; i++) {
            var unused =
                    mService.submit(QUEUE, submission(i), TIMEOUT_MS)
                            .subscribe(result -> results.add(result.result()));
        }
        mStore.setOutcome(Single.just(new AppendOutcome(AppendResult.APPENDED, 0)));
        first.onSuccess(new AppendOutcome(AppendResult.APPENDED, 0));

        assertThat(mStore.appends())
                .extracting(RecordingStore::bytes)
                .allMatch(bytes -> bytes <= MAXIMUM_APPEND_BYTES);
        assertThat(mDurable).hasSize(JOBS).doesNotHaveDuplicates();
        assertThat(results).hasSize(JOBS).containsOnly(JobChangeResult.DONE);
    }

    /** Guards against an accepted job whose record the store rejects for ever. */
    @Test
    void rejectsJobThatFitsIntoNoRecord() {
        JobSubmission large =
                new JobSubmission(
                        new JobId("x".repeat(254)),
                        new QueueName("q"),
                        "payload",
                        List.of(),
                        0,
                        0,
                        0,
                        7);
        var longKey = mService.submit(QUEUE, large, TIMEOUT_MS).test();
        JobSubmission wide =
                new JobSubmission(
                        new JobId("job-1"),
                        new QueueName("q"),
                        "x".repeat(MAXIMUM_RECORD_BYTES),
                        List.of(),
                        0,
                        0,
                        0,
                        7);
        var largeValue = mService.submit(QUEUE, wide, TIMEOUT_MS).test();

        longKey.assertValue(SubmissionResult.of(JobChangeResult.TOO_LARGE));
        largeValue.assertValue(SubmissionResult.of(JobChangeResult.TOO_LARGE));
        assertThat(mStore.appends()).isEmpty();
    }

    /** Guards against a queue whose name is too long for a key and that could accept no job. */
    @Test
    void acceptsJobOfQueueWhoseSettingsFitIntoNoRecord() {
        var result = mService.submit(queue("q".repeat(254)), submission(1), TIMEOUT_MS).test();

        result.assertValue(SubmissionResult.of(JobChangeResult.DONE));
    }

    /** Guards against one record that the store never accepts and that holds up the others. */
    @Test
    void acceptsOtherJobsBesideOneThatTheStoreNeverAccepts() {
        SingleSubject<AppendOutcome> first = SingleSubject.create();
        mStore.setOutcome(first);
        List<JobChangeResult> results = new ArrayList<>();
        for (int i = 0; i < 3; i++) {
            int number = i;
            var unused =
                    mService.submit(QUEUE, submission(i), TIMEOUT_MS)
                            .subscribe(result -> results.add(number, result.result()));
        }
        mStore.setOutcome(Single.just(new AppendOutcome(AppendResult.APPENDED, 0)));
        mStore.rejectKey("j:job-1001", AppendResult.INVALID);
        first.onSuccess(new AppendOutcome(AppendResult.APPENDED, 0));
        mScheduler.advanceTimeBy(TIMEOUT_MS, TimeUnit.MILLISECONDS);

        assertThat(results)
                .containsExactly(
                        JobChangeResult.DONE, JobChangeResult.NOT_DONE, JobChangeResult.DONE);
    }

    /** Guards against jobs that cannot run after their queue was removed and the owner changed. */
    @Test
    void storesSettingsOfQueueOnceBeforeItsFirstJob() {
        var first = mService.submit(QUEUE, submission(1), TIMEOUT_MS).test();
        var second = mService.submit(QUEUE, submission(2), TIMEOUT_MS).test();

        first.assertValue(SubmissionResult.of(JobChangeResult.DONE));
        second.assertValue(SubmissionResult.of(JobChangeResult.DONE));
        assertThat(mStore.appends().stream().flatMap(List::stream).map(StoreRecord::key))
                .containsExactly("q:q", "j:job-1001", "j:job-1002");
        assertThat(mDirectory.queues()).containsExactly(QUEUE);
    }

    /** Guards against a rejection of a job whose earlier submission may still be committed. */
    @Test
    void neverRejectsJobWhoseEarlierAppendHasNoOutcome() {
        mStore.setOutcome(Single.just(new AppendOutcome(AppendResult.UNKNOWN, 0)));
        var first = mService.submit(QUEUE, submission(1), TIMEOUT_MS).test();
        mScheduler.advanceTimeBy(TIMEOUT_MS, TimeUnit.MILLISECONDS);
        mStore.setOutcome(Single.just(new AppendOutcome(AppendResult.REFUSED, 0)));
        var again = mService.submit(QUEUE, submission(1), TIMEOUT_MS).test();
        var other = mService.submit(QUEUE, submission(2), TIMEOUT_MS).test();
        mScheduler.advanceTimeBy(TIMEOUT_MS, TimeUnit.MILLISECONDS);

        first.assertValue(SubmissionResult.of(JobChangeResult.UNKNOWN));
        again.assertValue(SubmissionResult.of(JobChangeResult.UNKNOWN));
        other.assertValue(SubmissionResult.of(JobChangeResult.NOT_DONE));
    }

    /**
     * Guards against a caller that does not learn that its job was accepted: the outcome of an
     * append is unknown while the store is away for a moment.
     */
    @Test
    void settlesAppendWithoutOutcomeWhileItsCallerWaits() {
        mStore.setOutcome(Single.just(new AppendOutcome(AppendResult.UNKNOWN, 0)));
        var result = mService.submit(QUEUE, submission(1), TIMEOUT_MS).test();
        mStore.setOutcome(Single.just(new AppendOutcome(AppendResult.REFUSED, 0)));
        mScheduler.advanceTimeBy(TIMEOUT_MS / 2, TimeUnit.MILLISECONDS);
        result.assertNotComplete();
        mStore.setOutcome(Single.just(new AppendOutcome(AppendResult.APPENDED, 0)));
        mScheduler.advanceTimeBy(TIMEOUT_MS / 4, TimeUnit.MILLISECONDS);

        result.assertValue(SubmissionResult.of(JobChangeResult.DONE));
    }

    /** Guards against a caller that waits although nothing of its job can have been stored. */
    @Test
    void rejectsJobEarlyWhenNoAppendMayBeCommitted() {
        mStore.setOutcome(Single.just(new AppendOutcome(AppendResult.REFUSED, 0)));
        var result = mService.submit(QUEUE, submission(1), TIMEOUT_MS).test();
        mScheduler.advanceTimeBy(600, TimeUnit.MILLISECONDS);

        result.assertValue(SubmissionResult.of(JobChangeResult.NOT_DONE));
    }

    /** Guards against the rejection of a job that another entry accepted. */
    @Test
    void acceptsJobForWhichItCannotProveThatNoEntryAcceptedIt() {
        mReturnAfterMs = Optional.of(5_000L);
        mStore.setOutcome(Single.just(new AppendOutcome(AppendResult.APPENDED, 0)));
        // The topic is not loaded.
        var result = mService.submit(QUEUE, submission(1), TIMEOUT_MS).test();

        result.assertValue(SubmissionResult.of(JobChangeResult.DONE));
        assertThat(mDurable).hasSize(1);
    }

    @Test
    void confirmsJobThatAnotherEntryAcceptedInPlaceOfRejectingIt() {
        mReturnAfterMs = Optional.of(5_000L);
        mDirectory.onJobSubmitted(submission(1));

        mService.submit(QUEUE, submission(1), TIMEOUT_MS)
                .test()
                .assertValue(SubmissionResult.of(JobChangeResult.DONE));
    }

    @Test
    void rejectsNewJobWithTheTimeToReturn() {
        RelayingRecordStore store =
                new RelayingRecordStore(
                        new EmptyStore(), (peer, message) -> false, Optional::empty, mScheduler);
        DurableJobService service = service(store, (queue, submission) -> Optional.of(5_000L));

        service.submit(QUEUE, submission(1), TIMEOUT_MS)
                .test()
                .assertValue(SubmissionResult.rejected(5_000L));
    }

    /** Returns empty pages. */
    private static final class EmptyStore implements RecordStore {
        @Override
        public Single<AppendOutcome> append(StoreAppendRequest request, List<StoreRecord> records) {
            return Single.error(new AssertionError("a rejected job must not be stored"));
        }

        @Override
        public Single<StorePage> read(StoreReadRequest request) {
            return Single.just(new StorePage(List.of(), 0, false, false));
        }
    }

    /** Returns an empty topic, and then no further response. */
    private static final class StalledStore implements RecordStore {
        @Override
        public Single<AppendOutcome> append(StoreAppendRequest request, List<StoreRecord> records) {
            return Single.never();
        }

        @Override
        public Single<StorePage> read(StoreReadRequest request) {
            return request.newest()
                    ? Single.just(new StorePage(List.of(), 0, false, false))
                    : Single.never();
        }
    }

    private DurableJobService serviceOfStalledStore() {
        return service(
                new RelayingRecordStore(
                        new StalledStore(), (peer, message) -> false, Optional::empty, mScheduler),
                DurableJobService.AdmissionPolicy.ACCEPT_ALL);
    }

    private DurableJobService service(
            RelayingRecordStore store, DurableJobService.AdmissionPolicy admission) {
        TopicConsumer consumer =
                new TopicConsumer(
                        store, JobLogCodec.JOBS_TOPIC, record -> {}, mScheduler, 1_000, 500);
        consumer.start();
        assertThat(consumer.isLoaded()).isTrue();
        return new DurableJobService(
                store,
                consumer,
                mDirectory,
                new JobLogCodec(),
                Optional::empty,
                admission,
                new DurableJobService.Listener() {
                    @Override
                    public void onJobSubmitted(JobSubmission submission) {}

                    @Override
                    public void onJobCancelled(JobId job) {}
                },
                mScheduler,
                MAXIMUM_RECORD_BYTES);
    }

    /** Guards against a caller that waits for as long as a page takes over a slow link. */
    @Test
    void answersForUnknownJobWithinOneSecond() {
        var state = serviceOfStalledStore().jobState(QUEUE, new JobId("job-1")).test();
        mScheduler.advanceTimeBy(1_000, TimeUnit.MILLISECONDS);

        state.assertValue(result -> !result.known() && result.state().isEmpty());
    }

    /** Guards against a cancellation that waits for as long as a page takes over a slow link. */
    @Test
    void answersCancellationOfUnknownJobWithinOneSecond() {
        var result = serviceOfStalledStore().cancel(QUEUE, new JobId("job-1"), TIMEOUT_MS).test();
        mScheduler.advanceTimeBy(1_000, TimeUnit.MILLISECONDS);

        result.assertValue(JobChangeResult.NOT_DONE);
    }
}
