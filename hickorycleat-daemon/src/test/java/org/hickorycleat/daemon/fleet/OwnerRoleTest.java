package org.hickorycleat.daemon.fleet;

import static org.assertj.core.api.Assertions.assertThat;

import io.micrometer.core.instrument.simple.SimpleMeterRegistry;
import io.reactivex.rxjava3.schedulers.TestScheduler;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.hickorycleat.daemon.transport.MessageTransport;
import org.hickorycleat.daemon.transport.TransportMetrics;
import org.hickorycleat.logic.directory.JobDirectory;
import org.hickorycleat.logic.dispatch.DispatchSettings;
import org.hickorycleat.logic.port.DecisionLog;
import org.hickorycleat.model.identifier.Epoch;
import org.hickorycleat.model.identifier.ProcessId;
import org.hickorycleat.model.identifier.ZoneId;
import org.hickorycleat.model.job.JobId;
import org.hickorycleat.model.job.JobProgress;
import org.hickorycleat.model.job.JobState;
import org.hickorycleat.model.job.TaskProgress;
import org.hickorycleat.model.job.TaskStatus;
import org.hickorycleat.model.message.FleetNode;
import org.hickorycleat.model.message.Message;
import org.hickorycleat.model.message.ProcessRole;
import org.hickorycleat.model.store.StoreRecord;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

class OwnerRoleTest {
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
                    new JobDirectory(),
                    mCodec,
                    mScheduler,
                    DispatchSettings.of(10_000),
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
