package org.hickorycleat.daemon.fleet;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

class RunHistoryTest {
    private final RunHistory mHistory = new RunHistory();

    @Test
    void acceptsSequentialRuns() {
        mHistory.onStart("\"a.0.0.0\",1");
        mHistory.onEnd("\"a.0.0.0\",1");
        mHistory.onStart("\"a.0.0.0\",2");

        assertThat(mHistory.violations()).isEmpty();
        assertThat(mHistory.hasStarted("a")).isTrue();
        assertThat(mHistory.hasStarted("b")).isFalse();
    }

    @Test
    void reportsConcurrentRuns() {
        mHistory.onStart("\"a.0.0.0\",1");
        mHistory.onStart("\"a.0.0.0\",2");

        assertThat(mHistory.violations()).hasSize(1);
    }

    @Test
    void reportsStartAfterAcknowledgedEnd() {
        mHistory.onStart("\"a.0.0.0\",1");
        mHistory.onEnd("\"a.0.0.0\",1");
        mHistory.onAcknowledged("[1,\"a.0.0.0\",1,\"done\",\"\"]");
        mHistory.onStart("\"a.0.0.0\",2");

        assertThat(mHistory.violations()).hasSize(1);
    }
}
