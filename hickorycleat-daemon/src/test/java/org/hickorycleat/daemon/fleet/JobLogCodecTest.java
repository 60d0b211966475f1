package org.hickorycleat.daemon.fleet;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.ByteBuffer;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.hickorycleat.logic.directory.JobRecord;
import org.hickorycleat.model.identifier.Epoch;
import org.hickorycleat.model.identifier.ProcessId;
import org.hickorycleat.model.identifier.ServiceName;
import org.hickorycleat.model.identifier.WorkerId;
import org.hickorycleat.model.identifier.ZoneId;
import org.hickorycleat.model.job.AdviceServiceSettings;
import org.hickorycleat.model.job.InterferenceEstimate;
import org.hickorycleat.model.job.JobId;
import org.hickorycleat.model.job.JobProgress;
import org.hickorycleat.model.job.JobQueue;
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
import org.junit.jupiter.params.provider.ValueSource;

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
                                JOB,
                                new QueueName("q"),
                                "text",
                                List.of(step(1, Resources.NONE), step),
                                0,
                                0,
                                0,
                                7)),
                new JobRecord.QueueAccepting(
                        new JobQueue(
                                new QueueName("q"),
                                "host",
                                "/q/",
                                new ServiceName("s"),
                                1,
                                4,
                                1.5,
                                1_000,
                                3_000,
                                Optional.of(new AdviceServiceSettings(1, 2, 3)))),
                new JobRecord.Cancelled(JOB),
                new JobRecord.Progressed(new JobProgress(JOB, JobState.RUNNING, List.of(task))),
                new JobRecord.ProgressedPart(
                        3, new JobProgress(JOB, JobState.RUNNING, List.of(task))),
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
                .hasSize(7);
    }

    @Test
    void skipsUnreadableRecords() {
        assertThat(mCodec.decode(new StoreRecord(0, "j:x", new byte[] {1, 2}))).isEmpty();
        assertThat(mCodec.decode(new StoreRecord(0, "other", new byte[] {1, 2}))).isEmpty();
        for (String key : List.of("j:", "p:", "j", "", "c:x", "t:x/1", "q:x", "owner")) {
            assertThat(mCodec.decode(new StoreRecord(0, key, new byte[0]))).isEmpty();
        }
    }

    @Test
    void removesRecordsByTheirKeys() {
        JobId job = new JobId("x");
        Map<JobRecord.Kind, String> keys =
                Map.of(
                        JobRecord.Kind.SUBMISSION, "j:x",
                        JobRecord.Kind.CANCELLATION, "c:x",
                        JobRecord.Kind.PROGRESS, "p:x",
                        JobRecord.Kind.PROGRESS_PART, "t:x/3");
        keys.forEach(
                (kind, key) -> {
                    StoreRecord encoded = mCodec.encode(new JobRecord.Removed(kind, job, 3));
                    assertThat(encoded.key()).isEqualTo(key);
                    assertThat(encoded.value()).isEmpty();
                });
        assertThat(mCodec.decode(new StoreRecord(0, "j:x", new byte[0])))
                .contains(new JobRecord.Removed(JobRecord.Kind.SUBMISSION, job, 0));
        assertThat(mCodec.decode(new StoreRecord(0, "p:x", new byte[0])))
                .contains(new JobRecord.Removed(JobRecord.Kind.PROGRESS, job, 0));
    }

    @Test
    void roundTripsEntries() {
        assertThat(mCodec.decodeEntry(mCodec.encodeEntry(NODE))).contains(NODE);
    }

    private static FleetNode node(String host, int port) {
        return new FleetNode(
                NODE.process(), NODE.role(), NODE.zone(), host, port, 750, NODE.startedAtMs());
    }

    private static StepSpecification step(int count, Resources resources, int... predecessors) {
        return new StepSpecification(
                count,
                resources,
                900,
                Arrays.stream(predecessors).boxed().toList(),
                false,
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
    }

    private static JobRecord job(int repeatCount, StepSpecification... steps) {
        return new JobRecord.Submitted(
                new JobSubmission(
                        JOB, new QueueName("q"), "text", List.of(steps), repeatCount, 0, 0, 7));
    }

    private static JobRecord progress(int occurrence, int step, int index) {
        return new JobRecord.Progressed(
                new JobProgress(
                        JOB,
                        JobState.RUNNING,
                        List.of(
                                new TaskProgress(
                                        occurrence,
                                        step,
                                        index,
                                        TaskStatus.ACTIVE,
                                        1,
                                        List.of(),
                                        Optional.empty(),
                                        Optional.empty(),
                                        Optional.empty()))));
    }

    /** Guards against an entry whose address no socket can have. */
    @ParameterizedTest
    @ValueSource(ints = {-1, 0, 65_536, Integer.MAX_VALUE, Integer.MIN_VALUE})
    void skipsEntryWithPortOutOfRange(int port) {
        assertThat(mCodec.decodeEntry(mCodec.encodeEntry(node("127.0.0.1", port)))).isEmpty();
    }

    /** Guards against a name query, which would block the thread that handles the entry. */
    @ParameterizedTest
    @ValueSource(strings = {"", " ", "entry.example", "127.0.0.1.example", "256.0.0.1", "1", "::x"})
    void skipsEntryWhoseHostIsNoAddress(String host) {
        assertThat(mCodec.decodeEntry(mCodec.encodeEntry(node(host, 7720)))).isEmpty();
    }

    /** Guards against an entry that replaces the address of another. */
    @Test
    void skipsEntryUnderKeyOfAnother() {
        byte[] value = mCodec.encodeEntry(NODE).value();
        assertThat(mCodec.decodeEntry(new StoreRecord(0, "entry-2", value))).isEmpty();
    }

    static List<JobRecord> oddJobs() {
        Resources none = Resources.NONE;
        return List.of(
                job(0),
                job(0, step(0, none)),
                job(0, step(-1, none)),
                job(0, step(Integer.MAX_VALUE, none)),
                job(Integer.MAX_VALUE, step(1, none)),
                job(-1, step(1, none)),
                job(0, step(1, none, 0)),
                job(0, step(1, none), step(1, none, 7)),
                job(0, step(1, none), step(1, none, -1)),
                job(0, step(1, new Resources(Long.MAX_VALUE, 0, 0))));
    }

    /** Guards against a job that exhausts the memory of the owner or ends its dispatching. */
    @ParameterizedTest
    @MethodSource("oddJobs")
    void skipsJobThatCannotRun(JobRecord record) {
        assertThat(mCodec.decode(mCodec.encode(record))).isEmpty();
    }

    static List<JobRecord> oddProgress() {
        return List.of(progress(-1, 0, 0), progress(0, -1, 0), progress(0, 0, -1));
    }

    /** Guards against progress that the next owner cannot restore. */
    @ParameterizedTest
    @MethodSource("oddProgress")
    void skipsProgressOfTaskThatCannotExist(JobRecord record) {
        assertThat(mCodec.decode(mCodec.encode(record))).isEmpty();
    }

    /** Guards against a claim above which no other claim is possible. */
    @ParameterizedTest
    @ValueSource(longs = {Long.MAX_VALUE, Long.MAX_VALUE - 1, -1})
    void skipsClaimWithEpochOutOfRange(long epoch) {
        StoreRecord claim = mCodec.encode(new JobRecord.Claimed(NODE, new Epoch(1)));
        byte[] value = claim.value();
        byte[] odd =
                ByteBuffer.allocate(value.length + 8)
                        .put(value, 0, value.length - 1)
                        .put((byte) 0xd3)
                        .putLong(epoch)
                        .array();
        assertThat(mCodec.decode(new StoreRecord(0, claim.key(), odd))).isEmpty();
    }

    /** Guards against a record that is kept under the key of another job. */
    @Test
    void skipsRecordUnderKeyOfAnotherJob() {
        byte[] value = mCodec.encode(new JobRecord.Cancelled(JOB)).value();
        assertThat(mCodec.decode(new StoreRecord(0, "c:other", value))).isEmpty();
    }

    static List<byte[]> oddBytes() {
        byte[] nested = new byte[100_000];
        Arrays.fill(nested, (byte) 0x91);
        byte[] maps = new byte[100_000];
        Arrays.fill(maps, (byte) 0x81);
        return List.of(
                nested,
                maps,
                new byte[] {(byte) 0xdd, -1, -1, -1, -1},
                new byte[] {(byte) 0xdd, 0x7f, -1, -1, -1},
                new byte[] {(byte) 0xdb, 0x7f, -1, -1, -1},
                new byte[] {(byte) 0xdb, -1, -1, -1, -1},
                new byte[] {(byte) 0xc6, 0x7f, -1, -1, -1},
                new byte[] {(byte) 0xc9, 0x7f, -1, -1, -1, 5},
                new byte[] {(byte) 0xc0},
                new byte[] {(byte) 0xcb, 0x7f, (byte) 0xf0, 0, 0, 0, 0, 0, 0},
                new byte[] {(byte) 0xcf, -1, -1, -1, -1, -1, -1, -1, -1},
                new byte[] {(byte) 0xc1});
    }

    @ParameterizedTest
    @MethodSource("oddBytes")
    void skipsOddBytes(byte[] value) {
        for (String key : List.of("j:x", "c:x", "p:x", "owner", "interference")) {
            assertThat(mCodec.decode(new StoreRecord(0, key, value))).isEmpty();
        }
        assertThat(mCodec.decodeEntry(new StoreRecord(0, "entry-1", value))).isEmpty();
    }
}
