package org.hickorycleat.daemon.fleet;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.hickorycleat.logic.port.HttpRequest;
import org.junit.jupiter.api.Test;

/** Metrics of a process whose registry is created by the first request for them. */
class ProcessMetricsTest {
    private final ProcessMetrics mMetrics = new ProcessMetrics();

    private String scrape() {
        HttpRequest request = new HttpRequest("GET", "/metrics", "", Map.of(), new byte[0]);
        return new String(mMetrics.serve(request).blockingGet().body(), StandardCharsets.UTF_8);
    }

    @Test
    void showsWhatWasCountedBeforeTheFirstRequest() {
        mMetrics.decisionLog(ProcessMetricsTest.class).record("run_started");
        mMetrics.recordConfigurationCopy(120);
        mMetrics.recordResponseTime(TimeUnit.MILLISECONDS.toNanos(20));

        assertThat(scrape())
                .contains("hickorycleat_decisions_total{event=\"run_started\"} 1.0")
                .contains("hickorycleat_configuration_copies_sent_total 1.0")
                .contains("hickorycleat_configuration_copies_sent_bytes_total 120.0")
                .contains("hickorycleat_transport_sent_messages_total 0.0")
                .contains("hickorycleat_caller_answers_seconds_bucket{le=\"0.03\"} 1");
    }

    @Test
    void showsWhatIsCountedBetweenRequests() {
        mMetrics.decisionLog(ProcessMetricsTest.class).record("run_started");
        scrape();

        mMetrics.decisionLog(ProcessMetricsTest.class).record("run_started");
        mMetrics.decisionLog(ProcessMetricsTest.class).record("run_ended");

        assertThat(scrape())
                .contains("hickorycleat_decisions_total{event=\"run_started\"} 2.0")
                .contains("hickorycleat_decisions_total{event=\"run_ended\"} 1.0");
    }
}
