package org.hickorycleat.daemon.entry;

import static org.assertj.core.api.Assertions.assertThat;

import io.reactivex.rxjava3.core.Single;
import io.reactivex.rxjava3.schedulers.TestScheduler;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import org.hickorycleat.logic.port.LogPage;
import org.hickorycleat.logic.port.LogRecord;
import org.hickorycleat.logic.port.LogService;
import org.hickorycleat.model.identifier.ConfigurationVersion;
import org.hickorycleat.model.identifier.Incarnation;
import org.hickorycleat.model.identifier.InstanceNumber;
import org.hickorycleat.model.identifier.ProcessId;
import org.hickorycleat.model.identifier.ServiceName;
import org.hickorycleat.model.identifier.SessionNumber;
import org.hickorycleat.model.identifier.StreamName;
import org.hickorycleat.model.identifier.ZoneId;
import org.hickorycleat.model.message.AgentReport;
import org.hickorycleat.model.message.Hello;
import org.hickorycleat.model.message.LoadSignal;
import org.hickorycleat.model.message.Message;
import org.hickorycleat.model.message.ProcessRole;
import org.hickorycleat.model.message.TargetReport;
import org.hickorycleat.model.message.TargetState;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class InstanceRegistrarTest implements LogService {
    private static final String REGISTRATION =
            "{\"service\":\"s\",\"instance\":5,\"agent\":\"agent-1\",\"incarnation\":1}";

    private final List<Message> mSent = new ArrayList<>();
    private final List<LogRecord> mRecords = new ArrayList<>();

    @Override
    public Single<Long> append(StreamName stream, byte[] payload) {
        return Single.never();
    }

    @Override
    public Single<LogPage> read(StreamName stream, long fromOffset, int limit, Duration wait) {
        return fromOffset >= mRecords.size()
                ? Single.never()
                : Single.just(new LogPage(0, mRecords.size(), mRecords));
    }

    private void addRecord(String payload) {
        mRecords.add(new LogRecord(mRecords.size(), 1, payload.getBytes(StandardCharsets.UTF_8)));
    }

    private boolean isRegistered() {
        TestScheduler scheduler = new TestScheduler();
        InstanceRegistrar registrar =
                new InstanceRegistrar(
                        this, (agent, message) -> mSent.add(message), new Random(1), scheduler);
        registrar.start();
        Hello agent =
                new Hello(
                        1,
                        new ProcessId("agent-1"),
                        ProcessRole.AGENT,
                        new Incarnation(1),
                        new SessionNumber(1),
                        new ZoneId("north"),
                        Optional.empty());
        TargetReport target =
                new TargetReport(
                        new ServiceName("s"),
                        new InstanceNumber(5),
                        TargetState.READY,
                        1,
                        1,
                        new LoadSignal(0, 0, 0));
        registrar.onAgentReport(
                agent,
                new AgentReport(
                        1, new ConfigurationVersion(-1), List.of(target), Optional.empty()));
        return !mSent.isEmpty();
    }

    /** Guards against a registration of another instance than the record names. */
    @ParameterizedTest
    @ValueSource(strings = {"18446744073709551621", "\"5\"", "5.5"})
    void ignoresRegistrationWithOddNumber(String instance) {
        addRecord(REGISTRATION.replace(":5", ":" + instance));

        assertThat(isRegistered()).isFalse();
    }

    @ParameterizedTest
    @ValueSource(strings = {"", "[]", "null", "{", "{\"service\":7}", "[[[["})
    void registersAfterMalformedRecord(String payload) {
        addRecord(payload);
        addRecord("[".repeat(100_000));
        addRecord(REGISTRATION);

        assertThat(isRegistered()).isTrue();
    }

    @Test
    void registersInstance() {
        addRecord(REGISTRATION);

        assertThat(isRegistered()).isTrue();
    }
}
