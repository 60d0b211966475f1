package org.hickorycleat.daemon.fleet;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Optional;
import org.hickorycleat.logic.directory.JobRecord;
import org.hickorycleat.model.identifier.Epoch;
import org.hickorycleat.model.identifier.ProcessId;
import org.hickorycleat.model.identifier.WorkerId;
import org.hickorycleat.model.identifier.ZoneId;
import org.hickorycleat.model.job.InterferenceEstimate;
import org.hickorycleat.model.job.JobId;
import org.hickorycleat.model.job.JobProgress;
import org.hickorycleat.model.job.JobState;
import org.hickorycleat.model.job.JobSubmission;
import org.hickorycleat.model.job.QueueName;
import org.hickorycleat.model.job.StepSpecification;
import org.hickorycleat.model.job.TaskProgress;
import org.hickorycleat.model.job.TaskStatus;
import org.hickorycleat.model.job.WorkerIncarnation;
import org.hickorycleat.model.message.FleetNode;
import org.hickorycleat.model.message.ProcessRole;
import org.hickorycleat.model.store.StoreRecord;
import org.hickorycleat.model.task.Resources;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

class JobLogCodecTest {
    private static final JobId JOB = new JobId("5c0e7a21d94b36f8");
    private static final FleetNode NODE =
            new FleetNode(
                    new ProcessId("entry-1"),
                    ProcessRole.ENTRY,
                    new ZoneId("north"),
                    "127.0.0.1",
                    7720,
                    750,
                    5);

    private final JobLogCodec mCodec = new JobLogCodec();

    static List<JobRecord> records() {
        StepSpecification step =
                new StepSpecification(
                        3,
                        new Resources(500, 256, 0),
                        900,
                        List.of(0),
                        true,
                        false,
                        false,
                        Optional.empty(),
                        Optional.of("r1-3"),
                        2,
                        true,
                        false,
                        "image",
                        50,
                        true,
                        -1);
        TaskProgress task =
                new TaskProgress(
                        0,
                        1,
                        2,
                        TaskStatus.ACTIVE,
                        4,
                        List.of(1, 3),
                        Optional.of(new ProcessId("agent-1")),
                        Optional.of(new WorkerIncarnation(new WorkerId("i-1"), 99)),
                        Optional.of("saved"));
        return List.of(
                new JobRecord.Submitted(
                        new JobSubmission(
                                JOB, new QueueName("q"), "text", List.of(step), 0, 0, 0, 7)),
                new JobRecord.Cancelled(JOB),
                new JobRecord.Progressed(new JobProgress(JOB, JobState.RUNNING, List.of(task))),
                new JobRecord.Claimed(NODE, new Epoch(12)),
                new JobRecord.InterferenceUpdate(
                        List.of(new InterferenceEstimate("s", "f", 1_200, 40))));
    }

    @ParameterizedTest
    @MethodSource("records")
    void roundTripsRecords(JobRecord record) {
        assertThat(mCodec.decode(mCodec.encode(record))).contains(record);
    }

    @Test
    void usesDistinctKeysForRecordKinds() {
        assertThat(records().stream().map(mCodec::encode).map(StoreRecord::key).distinct())
                .hasSize(5);
    }

    @Test
    void skipsUnreadableRecords() {
        assertThat(mCodec.decode(new StoreRecord(0, "j:x", new byte[] {1, 2}))).isEmpty();
        assertThat(mCodec.decode(new StoreRecord(0, "other", new byte[] {1, 2}))).isEmpty();
        assertThat(mCodec.decode(new StoreRecord(0, "j:x", new byte[0]))).isEmpty();
    }

    @Test
    void roundTripsEntries() {
        assertThat(mCodec.decodeEntry(mCodec.encodeEntry(NODE))).contains(NODE);
    }
}
