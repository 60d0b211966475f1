package org.hickorycleat.model.configuration;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import org.hickorycleat.model.identifier.ConfigurationVersion;
import org.hickorycleat.model.identifier.Incarnation;
import org.hickorycleat.model.identifier.ProcessId;
import org.hickorycleat.model.identifier.RecordId;
import org.junit.jupiter.api.Test;

class ConfigurationHistoryTest {
    private final List<byte[]> mLog = new ArrayList<>();

    /** Guards against concurrent publications on the same base that are both accepted. */
    @Test
    void onlyFirstOfTwoManifestsWithSameBaseIsAccepted() {
        publish(-1, "a");
        publish(0, "b");
        publish(0, "c");
        publish(1, "d");

        assertThat(outcomesOfReaderFrom(0))
                .containsExactly(
                        RecordOutcome.ACCEPTED,
                        RecordOutcome.ACCEPTED,
                        RecordOutcome.STALE_BASE,
                        RecordOutcome.ACCEPTED);
        assertThat(readFrom(0).version()).isEqualTo(new ConfigurationVersion(3));
    }

    /** Guards against a duplicate append that changes the version or restores an old manifest. */
    @Test
    void duplicateOfCurrentManifestKeepsVersionAndDuplicateOfOldOneIsStale() {
        publish(-1, "a");
        publish(-1, "a");
        publish(0, "b");
        publish(-1, "a");

        assertThat(outcomesOfReaderFrom(0))
                .containsExactly(
                        RecordOutcome.ACCEPTED,
                        RecordOutcome.REPEATED,
                        RecordOutcome.ACCEPTED,
                        RecordOutcome.STALE_BASE);
    }

    /**
     * Guards against an invalid manifest that becomes active, and a malformed record that stops the
     * reader.
     */
    @Test
    void invalidManifestsAndMalformedRecordsChangeNothing() {
        mLog.add("{}".getBytes(StandardCharsets.UTF_8));
        mLog.add(new byte[] {1, 2});
        append("{\"schema\":1,\"base\":-1,\"x\":0}");
        publish(-1, "a");

        assertThat(outcomesOfReaderFrom(0))
                .containsExactly(
                        RecordOutcome.MALFORMED,
                        RecordOutcome.MALFORMED,
                        RecordOutcome.INVALID_MANIFEST,
                        RecordOutcome.ACCEPTED);
    }

    /**
     * Guards against a reader that accepts a manifest although it has not read the version it is
     * based on.
     */
    @Test
    void versionIsUnknownInTruncatedStreamWithoutSnapshot() {
        publish(-1, "a");
        publish(0, "b");

        ConfigurationHistory history = readFrom(1);

        assertThat(history.isVersionKnown()).isFalse();
        assertThat(history.current()).isEmpty();
    }

    /**
     * Guards against a snapshot that hides a manifest accepted after the snapshot's {@code asOf}
     * offset.
     */
    @Test
    void manifestAcceptedAfterSnapshotOffsetIsRecovered() {
        publish(-1, "a");
        publish(0, "b");
        snapshot(0, 1);

        assertThat(readFrom(1).version()).isEqualTo(new ConfigurationVersion(1));
        assertThat(readFrom(0).lastSnapshotOffset()).isEqualTo(-1);
    }

    /**
     * Guards against an outdated snapshot when retention has removed the manifest accepted after
     * it.
     */
    @Test
    void snapshotBeforeFirstRetainedOffsetIsInsufficient() {
        publish(-1, "a");
        publish(0, "b");
        snapshot(0, 1);

        assertThat(readFrom(2).isVersionKnown()).isFalse();

        snapshot(1, 3);

        assertThat(readFrom(2).version()).isEqualTo(new ConfigurationVersion(1));
        assertThat(readFrom(3).version()).isEqualTo(new ConfigurationVersion(1));
    }

    /**
     * Guards against a stream that accepts no manifest after retention has removed its invalid
     * records.
     */
    @Test
    void snapshotWithoutConfigurationAllowsFirstManifest() {
        publish(7, "a");
        mLog.add(
                ConfigurationRecordCodec.encode(
                        new ConfigurationRecord.Snapshot(
                                id(), new ConfigurationVersion(-1), 1, new byte[0])));
        publish(-1, "b");

        assertThat(readFrom(1).version()).isEqualTo(new ConfigurationVersion(2));
    }

    /** Guards against a reader that keeps its version across a gap in the offsets. */
    @Test
    void offsetGapMakesVersionUnknown() {
        publish(-1, "a");
        ConfigurationHistory history = readFrom(0);

        assertThat(history.apply(5, mLog.get(0)).history().isVersionKnown()).isFalse();
        assertThat(history.apply(0, mLog.get(0)).history()).isSameAs(history);
    }

    private RecordId id() {
        return new RecordId(new ProcessId("test"), new Incarnation(1), mLog.size());
    }

    private void publish(long base, String team) {
        append(
                "{\"schema\":1,\"base\":"
                        + base
                        + ",\"teams\":[{\"name\":\""
                        + team
                        + "\",\"quota\":{\"processors_milli\":0,\"memory_mebibytes\":0}}]}");
    }

    private void append(String manifest) {
        byte[] bytes = manifest.getBytes(StandardCharsets.UTF_8);
        mLog.add(ConfigurationRecordCodec.encode(new ConfigurationRecord.Publication(id(), bytes)));
    }

    private void snapshot(int version, long asOf) {
        byte[] manifest = ConfigurationRecordCodec.decode(mLog.get(version)).get().manifest();
        mLog.add(
                ConfigurationRecordCodec.encode(
                        new ConfigurationRecord.Snapshot(
                                id(), new ConfigurationVersion(version), asOf, manifest)));
    }

    private ConfigurationHistory readFrom(int first) {
        ConfigurationHistory history = ConfigurationHistory.startingAt(first);
        for (int offset = first; offset < mLog.size(); offset++) {
            history = history.apply(offset, mLog.get(offset)).history();
        }
        return history;
    }

    private List<RecordOutcome> outcomesOfReaderFrom(int first) {
        List<RecordOutcome> outcomes = new ArrayList<>();
        ConfigurationHistory history = ConfigurationHistory.startingAt(first);
        for (int offset = first; offset < mLog.size(); offset++) {
            ConfigurationHistory.ApplyResult step = history.apply(offset, mLog.get(offset));
            history = step.history();
            outcomes.add(step.outcome());
        }
        return outcomes;
    }
}
