package org.hickorycleat.daemon.fleet;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import org.hickorycleat.model.job.WorkloadConfiguration;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class WorkloadConfigurationCacheTest {
    private final List<WorkloadConfiguration> mActivated = new ArrayList<>();
    private final WorkloadConfigurationCache mCache =
            new WorkloadConfigurationCache(mActivated::add);

    @BeforeEach
    void activateFirst() {
        update(FleetExamples.CONFIGURATION);
    }

    private void update(String content) {
        mCache.updateIfNewer(content.getBytes(StandardCharsets.UTF_8), "store");
    }

    /** Guards against an exception that ends the reading of the configuration. */
    @Test
    void ignoresConfigurationWithBlankName() {
        update(FleetExamples.CONFIGURATION.replace(":7", ":8").replace("\"booking\"", "\" \""));

        assertThat(mCache.version()).isEqualTo(7);
    }

    /** Guards against a version that is silently reduced to another. */
    @Test
    void ignoresVersionBeyondLong() {
        update(FleetExamples.CONFIGURATION.replace(":7", ":18446744073709551716"));

        assertThat(mCache.version()).isEqualTo(7);
    }

    @ParameterizedTest
    @ValueSource(strings = {"", "[]", "{", "{\"version\":1e999}", "{\"version\":8,\"routes\":7}"})
    void ignoresMalformedConfiguration(String content) {
        update(content);

        assertThat(mCache.version()).isEqualTo(7);
        assertThat(mActivated).hasSize(1);
    }
}
