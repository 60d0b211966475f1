package org.hickorycleat.daemon.fleet;

import static org.assertj.core.api.Assertions.assertThat;

import io.micrometer.core.instrument.simple.SimpleMeterRegistry;
import io.reactivex.rxjava3.schedulers.TestScheduler;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.hickorycleat.daemon.transport.MessageTransport;
import org.hickorycleat.daemon.transport.TransportMetrics;
import org.hickorycleat.logic.directory.DurableJob;
import org.hickorycleat.logic.directory.IncarnationHistory;
import org.hickorycleat.logic.directory.JobDirectory;
import org.hickorycleat.logic.directory.JobRecord;
import org.hickorycleat.logic.directory.PastJobRemover;
import org.hickorycleat.logic.dispatch.DispatchSettings;
import org.hickorycleat.logic.port.DecisionLog;
import org.hickorycleat.model.identifier.Epoch;
import org.hickorycleat.model.identifier.ProcessId;
import org.hickorycleat.model.identifier.ZoneId;
import org.hickorycleat.model.job.JobId;
import org.hickorycleat.model.job.JobProgress;
import org.hickorycleat.model.job.JobState;
import org.hickorycleat.model.job.JobSubmission;
import org.hickorycleat.model.job.QueueName;
import org.hickorycleat.model.job.StepSpecification;
import org.hickorycleat.model.job.TaskProgress;
import org.hickorycleat.model.job.TaskStatus;
import org.hickorycleat.model.message.FleetNode;
import org.hickorycleat.model.message.Message;
import org.hickorycleat.model.message.ProcessRole;
import org.hickorycleat.model.store.AppendResult;
import org.hickorycleat.model.store.StoreRecord;
import org.hickorycleat.model.task.Resources;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

class OwnerRoleTest {
    private static final long STATUS_MS = 120_000;
    private static final int JOBS = 200;
    private static final int TASKS = 300;

    /** Longest append that a slow link carries within the timeout of the store, in bytes. */
    private static final long MAXIMUM_APPEND_BYTES = 320 << 10;

    private static final FleetNode SELF =
            new FleetNode(
                    new ProcessId("entry-1"),
                    ProcessRole.ENTRY,
                    new ZoneId("north"),
                    "127.0.0.1",
                    7720,
                    750,
                    5);

    private final TestScheduler mScheduler = new TestScheduler();
    private final RecordingStore mStore = new RecordingStore();
    private final JobDirectory mDirectory = new JobDirectory(() -> 0);
    private final JobLogCodec mCodec = new JobLogCodec();
    private final MessageTransport mTransport =
            new MessageTransport(1, new TransportMetrics(new SimpleMeterRegistry()));
    private final OwnerRole mOwner =
            new OwnerRole(
                    SELF,
                    new Epoch(3),
                    new RelayingRecordStore(
                            mStore, (peer, message) -> false, Optional::empty, mScheduler),
                    new FleetLinks(mTransport, SELF, new SilentListener(), mScheduler),
                    mDirectory,
                    new IncarnationHistory(),
                    mCodec,
                    mScheduler,
                    DispatchSettings.of(10_000),
                    262_144,
                    new PastJobRemover(mDirectory, STATUS_MS),
                    DecisionLog.NONE,
                    backlogs -> {},
                    () -> {});

    /** Ignores all events. */
    private static final class SilentListener implements FleetLinkListener {
        @Override
        public void onConnected(FleetNode peer) {}

        @Override
        public void onDisconnected(FleetNode peer) {}

        @Override
        public void onMessage(FleetNode peer, Message message) {}
    }

    @AfterEach
    void close() {
        mTransport.close();
    }

    private static JobProgress progress(int number, int tasks) {
        List<TaskProgress> list = new ArrayList<>();
        for (int i = 0; i < tasks; i++) {
            list.add(
                    new TaskProgress(
                            0,
                            0,
                            i,
                            TaskStatus.ACTIVE,
                            1,
                            List.of(),
                            Optional.of(new ProcessId("agent-" + i)),
                            Optional.empty(),
                            Optional.of("checkpoint-" + i)));
        }
        return new JobProgress(new JobId("job-" + (1_000 + number)), JobState.RUNNING, list);
    }

    private static JobSubmission submission(int number, int tasks) {
        StepSpecification step =
                new StepSpecification(
                        tasks,
                        new Resources(40, 1, 0),
                        900,
                        List.of(),
                        true,
                        false,
                        false,
                        Optional.empty(),
                        Optional.empty(),
                        0,
                        false,
                        false,
                        "",
                        0,
                        false,
                        -1);
        return new JobSubmission(
                progress(number, 0).id(), new QueueName("q"), "text", List.of(step), 0, 0, 0, 7);
    }

    private JobDirectory storedDirectory() {
        JobDirectory directory = new JobDirectory(() -> 0);
        mStore.appends().stream()
                .flatMap(List::stream)
                .map(mCodec::decode)
                .flatMap(Optional::stream)
                .forEach(directory::apply);
        return directory;
    }

    private Optional<JobProgress> storedProgress(int number) {
        return storedDirectory().jobs().stream()
                .filter(job -> job.id().equals(progress(number, 0).id()))
                .findFirst()
                .flatMap(DurableJob::progress);
    }

    /**
     * Guards against a large job that stops all jobs: its progress exceeded the record size of the
     * store, which rejected it for ever while everything else waited.
     */
    @Test
    void storesProgressOfJobWithMoreTasksThanOneRecordHolds() {
        mStore.limitRecords(64 << 10, AppendResult.REFUSED);
        mDirectory.onJobSubmitted(submission(1, JobSubmission.MAXIMUM_TASKS));
        JobProgress progress = progress(1, JobSubmission.MAXIMUM_TASKS);
        List<String> durable = new ArrayList<>();
        mOwner.persistProgress(List.of(progress), () -> durable.add("large"));
        mOwner.persistProgress(List.of(progress(2, 1)), () -> durable.add("small"));

        assertThat(durable).containsExactly("large", "small");
        assertThat(storedProgress(1)).isPresent();
        assertThat(storedProgress(1).get().tasks())
                .containsExactlyInAnyOrderElementsOf(progress.tasks());
    }

    @Test
    void storesOnlyPartsThatChanged() {
        mDirectory.onJobSubmitted(submission(1, 300));
        mOwner.persistProgress(List.of(progress(1, 300)), () -> {});
        int before = mStore.appends().size();
        mOwner.persistProgress(List.of(withEnd(progress(1, 300), 200)), () -> {});

        assertThat(mStore.appends().subList(before, mStore.appends().size()))
                .containsExactly(mStore.appends().get(before))
                .first()
                .satisfies(records -> assertThat(records).hasSize(1));
        assertThat(storedProgress(1)).isPresent();
        assertThat(storedProgress(1).get().tasks())
                .containsExactlyInAnyOrderElementsOf(withEnd(progress(1, 300), 200).tasks());
    }

    private static JobProgress withEnd(JobProgress progress, int index) {
        List<TaskProgress> tasks = new ArrayList<>(progress.tasks());
        tasks.set(
                index,
                new TaskProgress(
                        0,
                        0,
                        index,
                        TaskStatus.DONE,
                        1,
                        List.of(),
                        Optional.empty(),
                        Optional.empty(),
                        Optional.empty()));
        return new JobProgress(progress.id(), progress.state(), tasks);
    }

    /** Guards against one job that cannot be stored and holds up the others. */
    @Test
    void failsOnlyJobWhoseRecordTheStoreNeverAccepts() {
        mStore.limitRecords(200, AppendResult.INVALID);
        List<String> durable = new ArrayList<>();
        mOwner.persistProgress(
                List.of(progress(1, 1), progress(2, 40), progress(3, 1)),
                () -> durable.add("durable"));

        assertThat(durable).hasSize(1);
        assertThat(storedProgress(1).map(JobProgress::state)).contains(JobState.RUNNING);
        assertThat(storedDirectory().jobState(progress(2, 0).id())).contains(JobState.FAILED);
        assertThat(storedProgress(3).map(JobProgress::state)).contains(JobState.RUNNING);
    }

    @Test
    void removesPastJobsWithProgressOfOthers() {
        JobProgress ended = new JobProgress(submission(1, 1).id(), JobState.COMPLETED, List.of());
        mDirectory.onJobSubmitted(submission(1, 1));
        mDirectory.apply(new JobRecord.Progressed(ended));
        mOwner.persistProgress(List.of(progress(2, 1)), () -> {});
        mScheduler.advanceTimeBy(2 * STATUS_MS, TimeUnit.MILLISECONDS);
        mOwner.persistProgress(List.of(progress(3, 1)), () -> {});

        assertThat(mStore.appends()).hasSize(2);
        assertThat(mStore.appends().get(0)).hasSize(1);
        assertThat(mStore.appends().get(1).stream().map(StoreRecord::key))
                .containsExactly("p:job-1003", "p:job-1001", "j:job-1001");
    }

    /** Guards against an append that the store, a frame or a slow link cannot carry. */
    @Test
    void boundsAppendOfManyLargeJobs() {
        List<JobProgress> progress = new ArrayList<>();
        for (int i = 0; i < JOBS; i++) {
            progress.add(progress(i, TASKS));
        }
        List<String> durable = new ArrayList<>();
        mOwner.persistProgress(progress, () -> durable.add("durable"));

        assertThat(mStore.appends())
                .extracting(RecordingStore::bytes)
                .allMatch(bytes -> bytes <= MAXIMUM_APPEND_BYTES);
        assertThat(mStore.appends().stream().flatMap(List::stream).map(StoreRecord::key))
                .doesNotHaveDuplicates()
                .hasSize(JOBS);
        assertThat(durable).hasSize(1);
    }

    @Test
    void appendsRecordLargerThanBatch() {
        List<String> durable = new ArrayList<>();
        mOwner.persistProgress(List.of(progress(0, 20_000)), () -> durable.add("durable"));

        assertThat(mStore.appends()).hasSize(1);
        assertThat(durable).hasSize(1);
    }
}
