package org.hickorycleat.logic.configuration;

import static org.assertj.core.api.Assertions.assertThat;

import io.reactivex.rxjava3.subscribers.TestSubscriber;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.stream.IntStream;
import org.hickorycleat.model.configuration.AcceptedConfiguration;
import org.hickorycleat.model.identifier.ConfigurationVersion;
import org.hickorycleat.model.identifier.ServiceName;
import org.hickorycleat.model.manifest.Manifest;
import org.hickorycleat.model.manifest.ManifestParser;
import org.hickorycleat.model.manifest.ManifestSlices;
import org.hickorycleat.model.manifest.ManifestWriter;
import org.hickorycleat.model.message.ConfigurationUpdate;
import org.junit.jupiter.api.Test;

class ConfigurationHolderTest {
    private static final Manifest COMPLETE = manifest("a", "b");

    private final ConfigurationHolder mHolder = new ConfigurationHolder();

    /** Guards against a configuration that reverts when an old message arrives late. */
    @Test
    void lowerVersionsChangeNothingWhateverTheirSource() {
        mHolder.updateIfNewer(accepted(5, COMPLETE), ConfigurationSource.PEER);
        for (ConfigurationSource source : ConfigurationSource.values()) {
            assertThat(mHolder.updateIfNewer(accepted(4, COMPLETE), source)).isFalse();
        }

        assertThat(mHolder.version()).isEqualTo(new ConfigurationVersion(5));
    }

    /** Guards against an entry that loses services because one agent holds only some of them. */
    @Test
    void sliceNeverReplacesCompleteManifest() {
        mHolder.updateIfNewer(accepted(5, COMPLETE), ConfigurationSource.LOG);

        assertThat(mHolder.updateIfNewer(accepted(6, slice("a")), ConfigurationSource.AGENT))
                .isFalse();
        assertThat(mHolder.current().get().configuration().manifest()).isEqualTo(COMPLETE);
    }

    /** Guards against an entry without log or peers that serves only the services of one agent. */
    @Test
    void slicesOfOneVersionAreMergedUntilTheCompleteManifestArrives() {
        mHolder.updateIfNewer(accepted(5, slice("a")), ConfigurationSource.AGENT);
        mHolder.updateIfNewer(accepted(5, slice("b")), ConfigurationSource.AGENT);

        assertThat(mHolder.current().get().configuration().manifest().services())
                .containsExactlyInAnyOrderElementsOf(COMPLETE.services());
        assertThat(mHolder.updateIfNewer(accepted(5, slice("b")), ConfigurationSource.AGENT))
                .isFalse();
        assertThat(mHolder.healthText()).contains("source=agent complete=false");

        mHolder.updateIfNewer(accepted(5, COMPLETE), ConfigurationSource.LOG);

        assertThat(mHolder.healthText()).contains("version=5 source=log complete=true");
    }

    /** Guards against updates that are applied although they contain no valid manifest. */
    @Test
    void malformedUpdatesAreIgnored() {
        ConfigurationUpdate malformed =
                new ConfigurationUpdate(new ConfigurationVersion(9), new byte[] {1});
        ConfigurationUpdate withoutVersion =
                new ConfigurationUpdate(
                        new ConfigurationVersion(-1), ManifestWriter.write(COMPLETE));

        assertThat(mHolder.updateIfNewer(malformed, ConfigurationSource.PEER)).isFalse();
        assertThat(mHolder.updateIfNewer(withoutVersion, ConfigurationSource.PEER)).isFalse();
        assertThat(mHolder.healthText()).contains("configuration_version=none");
    }

    /** Guards against observers that see a version decrease or never see the latest. */
    @Test
    void observersOfConcurrentUpdatesSeeIncreasingVersionsUpToTheLatest() throws Exception {
        TestSubscriber<ActiveConfiguration> early = mHolder.changes().test();
        ExecutorService executor = Executors.newFixedThreadPool(4);
        try {
            List<Future<?>> updates =
                    IntStream.range(0, 4)
                            .<Future<?>>mapToObj(
                                    part -> executor.submit(() -> updateEveryFourth(part)))
                            .toList();
            TestSubscriber<ActiveConfiguration> late = mHolder.changes().test();
            awaitAll(updates);

            assertThat(early.values()).isSortedAccordingTo(ConfigurationHolderTest::compare);
            assertThat(late.values()).isSortedAccordingTo(ConfigurationHolderTest::compare);
            assertThat(last(early).value()).isEqualTo(1_999);
            assertThat(last(late).value()).isEqualTo(1_999);
        } finally {
            executor.shutdownNow();
        }
    }

    private void updateEveryFourth(int part) {
        for (int version = part; version < 2_000; version += 4) {
            mHolder.updateIfNewer(accepted(version, COMPLETE), ConfigurationSource.PEER);
        }
    }

    private static void awaitAll(List<Future<?>> updates)
            throws ExecutionException, InterruptedException {
        for (Future<?> update : updates) {
            update.get();
        }
    }

    private static int compare(ActiveConfiguration first, ActiveConfiguration second) {
        return first.version().compareTo(second.version());
    }

    private static ConfigurationVersion last(TestSubscriber<ActiveConfiguration> observer) {
        return observer.values().get(observer.values().size() - 1).version();
    }

    private static AcceptedConfiguration accepted(long version, Manifest manifest) {
        return new AcceptedConfiguration(
                new ConfigurationVersion(version), manifest, ManifestWriter.write(manifest));
    }

    private static Manifest slice(String service) {
        return ManifestSlices.slice(COMPLETE, Set.of(new ServiceName(service)));
    }

    private static Manifest manifest(String... services) {
        StringBuilder text =
                new StringBuilder(
                        "{\"schema\":1,\"base\":-1,\"teams\":[{\"name\":\"t\",\"quota\":"
                                + "{\"processors_milli\":0,\"memory_mebibytes\":0}}],"
                                + "\"services\":[");
        for (String service : services) {
            text.append(text.charAt(text.length() - 1) == '[' ? "" : ",")
                    .append("{\"name\":\"" + service + "\",\"team\":\"t\",\"instances\":1,")
                    .append("\"slots\":1,\"connections\":1,\"latency_goal_ms\":1}");
        }
        byte[] bytes = text.append("]}").toString().getBytes(StandardCharsets.UTF_8);
        return ManifestParser.parse(bytes).get();
    }
}
