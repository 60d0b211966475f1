package org.hickorycleat.model.configuration;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.statistics.Statistics;
import org.hickorycleat.model.identifier.ConfigurationVersion;
import org.hickorycleat.model.identifier.Incarnation;
import org.hickorycleat.model.identifier.ProcessId;
import org.hickorycleat.model.identifier.RecordId;

class ConfigurationHistoryPropertyTest {
    private static final int MAXIMUM_RECORDS = 24;

    /**
     * Guards against a reader that starts late and recovers another version than a reader of the
     * whole stream.
     */
    @Property(seed = "1", tries = 500)
    void readerThatStartsAnywhereHasUnknownOrOracleVersion(@ForAll long seed) {
        Stream stream = randomStream(new Random(seed));
        for (int first = 0; first < stream.size(); first++) {
            ConfigurationHistory history = ConfigurationHistory.startingAt(first);
            for (int offset = first; offset < stream.size(); offset++) {
                history = applyAndCompare(stream, history, offset);
            }
            if (first > 0) {
                Statistics.label("late reader knows the version").collect(history.isVersionKnown());
            }
        }
        // Without this check the property would hold for a reader that never recovers a version.
        Statistics.label("late reader knows the version")
                .coverage(coverage -> coverage.check(true).percentage(share -> share > 30));
    }

    /**
     * Guards against a version that is carried over a restart or a gap without the missed records.
     */
    @Property(seed = "2", tries = 500)
    void readerWithRestartsAndGapsHasUnknownOrOracleVersion(@ForAll long seed) {
        Random random = new Random(seed);
        Stream stream = randomStream(random);
        ConfigurationHistory history = ConfigurationHistory.startingAt(0);
        int offset = 0;
        while (offset < stream.size()) {
            switch (random.nextInt(8)) {
                case 0 -> history = ConfigurationHistory.startingAt(offset);
                case 1 -> offset = Math.min(offset + random.nextInt(3), stream.size() - 1);
                case 2 -> {
                    int earlier = random.nextInt(offset + 1);
                    if (earlier < history.nextOffset()) {
                        assertThat(history.apply(earlier, stream.payload(earlier)).history())
                                .isSameAs(history);
                    }
                }
                default -> history = applyAndCompare(stream, history, offset++);
            }
        }
    }

    private static ConfigurationHistory applyAndCompare(
            Stream stream, ConfigurationHistory before, int offset) {
        ConfigurationHistory after = before.apply(offset, stream.payload(offset)).history();
        boolean isGap = offset > before.nextOffset();
        if (before.isVersionKnown() && !isGap) {
            assertThat(after.isVersionKnown())
                    .as("version still known after offset %d", offset)
                    .isTrue();
        }
        if (after.isVersionKnown()) {
            assertThat(after.version().value())
                    .as("version after offset %d of %s", offset, stream)
                    .isEqualTo(stream.versionBefore(offset + 1));
        }
        if (after.isVersionKnown() && before.isVersionKnown()) {
            assertThat(after.version().value()).isGreaterThanOrEqualTo(before.version().value());
        }
        return after;
    }

    private static Stream randomStream(Random random) {
        Stream stream = new Stream();
        // At least two, so that at least one reader starts late.
        int records = 2 + random.nextInt(MAXIMUM_RECORDS - 1);
        while (stream.size() < records) {
            int size = stream.size();
            switch (random.nextInt(7)) {
                case 0, 1 -> stream.publish(stream.versionBefore(size), true);
                case 2 -> stream.publish(stream.versionBefore(random.nextInt(size + 1)), true);
                case 3 -> stream.publish(stream.versionBefore(size), false);
                case 4 -> stream.repeat(random.nextInt(size + 1));
                default -> stream.snapshot(size - random.nextInt(Math.min(size, 5) + 1));
            }
        }
        return stream;
    }

    /**
     * A stream with the oracle: the version after every record, computed while the stream is
     * written.
     */
    private static final class Stream {
        private final List<Entry> mEntries = new ArrayList<>();
        private final List<Long> mVersions = new ArrayList<>(List.of(-1L));

        /**
         * A record of the stream; a snapshot has no base and is never accepted as a publication.
         */
        private record Entry(
                ConfigurationRecord record, String manifest, long base, boolean isAcceptable) {}

        int size() {
            return mEntries.size();
        }

        byte[] payload(int offset) {
            return ConfigurationRecordCodec.encode(mEntries.get(offset).record());
        }

        long versionBefore(int offset) {
            return mVersions.get(offset);
        }

        void publish(long base, boolean isValid) {
            String manifest =
                    "{\"schema\":%d,\"base\":%d,\"teams\":[{\"name\":\"t%d\",\"quota\":%s}]}"
                            .formatted(
                                    isValid ? 1 : 99,
                                    base,
                                    size(),
                                    "{\"processors_milli\":0,\"memory_mebibytes\":0}");
            byte[] bytes = manifest.getBytes(StandardCharsets.UTF_8);
            add(
                    new Entry(
                            new ConfigurationRecord.Publication(id(), bytes),
                            manifest,
                            base,
                            isValid));
        }

        /**
         * Appends a duplicate of an earlier record; does nothing if the offset is the end of the
         * stream.
         */
        void repeat(int offset) {
            if (offset < size()) {
                add(mEntries.get(offset));
            }
        }

        /** Appends the snapshot of a writer that has read all records before {@code asOf}. */
        void snapshot(int asOf) {
            long version = versionBefore(asOf);
            String manifest = version < 0 ? "" : mEntries.get((int) version).manifest();
            byte[] bytes = manifest.getBytes(StandardCharsets.UTF_8);
            ConfigurationVersion snapshotVersion = new ConfigurationVersion(version);
            add(
                    new Entry(
                            new ConfigurationRecord.Snapshot(id(), snapshotVersion, asOf, bytes),
                            manifest,
                            -1,
                            false));
        }

        private void add(Entry entry) {
            long current = versionBefore(size());
            boolean isRepeat =
                    current >= 0 && mEntries.get((int) current).manifest().equals(entry.manifest());
            boolean isAccepted = entry.isAcceptable() && !isRepeat && entry.base() == current;
            mVersions.add(isAccepted ? (long) size() : current);
            mEntries.add(entry);
        }

        private RecordId id() {
            return new RecordId(new ProcessId("test"), new Incarnation(1), size());
        }

        @Override
        public String toString() {
            List<String> texts = new ArrayList<>();
            for (Entry entry : mEntries) {
                texts.add(
                        entry.record() instanceof ConfigurationRecord.Snapshot snapshot
                                ? "s%d@%d".formatted(snapshot.version().value(), snapshot.asOf())
                                : (entry.isAcceptable() ? "p" : "i") + entry.base());
            }
            return texts.toString();
        }
    }
}
