package org.hickorycleat.logic.retry;

import static org.assertj.core.api.Assertions.assertThat;

import io.reactivex.rxjava3.disposables.Disposable;
import io.reactivex.rxjava3.plugins.RxJavaPlugins;
import io.reactivex.rxjava3.schedulers.TestScheduler;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import org.hickorycleat.logic.invocation.KeyValidity;
import org.hickorycleat.model.identifier.ConfigurationVersion;
import org.hickorycleat.model.identifier.IdempotencyKey;
import org.hickorycleat.model.identifier.Incarnation;
import org.hickorycleat.model.identifier.InstanceNumber;
import org.hickorycleat.model.identifier.ProcessId;
import org.hickorycleat.model.identifier.ServiceName;
import org.hickorycleat.model.identifier.SessionNumber;
import org.hickorycleat.model.identifier.TeamName;
import org.hickorycleat.model.message.Cancel;
import org.hickorycleat.model.message.CancelResult;
import org.hickorycleat.model.message.HttpHeader;
import org.hickorycleat.model.message.Invoke;
import org.hickorycleat.model.message.InvokeResult;
import org.hickorycleat.model.message.Message;

/**
 * Simulates entries and agents connected by links with random delays, on a virtual clock.
 *
 * <p>Messages may be reordered, also within a session, as happens when several threads handle them.
 * A message in transit when a connection breaks is either lost or still arrives, possibly after the
 * next session was opened.
 */
final class RequestPipelineSimulation {
    static final ServiceName SERVICE = new ServiceName("booking");
    static final int ENTRIES = 2;
    static final int AGENTS = 3;

    private static final int MAXIMUM_DELAY_MS = 60;
    static final KeyValidity KEY_VALIDITY =
            new KeyValidity(
                    Duration.ofMillis(2_000),
                    Duration.ofMillis(500),
                    Duration.ofMillis(MAXIMUM_DELAY_MS),
                    Duration.ofMillis(MAXIMUM_DELAY_MS));

    record Mapping(ConfigurationVersion version, List<InstanceNumber> instances) {}

    private record Key(IdempotencyKey key, long createdMs) {}

    final TestScheduler mScheduler = new TestScheduler();
    final Random mRandom;
    private final RequestOracle mOracle = new RequestOracle();
    private final List<SimulatedEntry> mEntries = new ArrayList<>();
    final List<SimulatedAgent> mAgents = new ArrayList<>();
    private final Map<Integer, Key> mKeys = new HashMap<>();
    private long mIncarnations;
    private Mapping mMapping = mapping(0, AGENTS);

    RequestPipelineSimulation(long seed) {
        mRandom = new Random(seed);
        RxJavaPlugins.setErrorHandler(error -> mOracle.recordViolation("uncaught: " + error));
        for (int index = 0; index < ENTRIES; index++) {
            mEntries.add(newEntry(new ProcessId("entry" + index)));
        }
        for (int index = 0; index < AGENTS; index++) {
            mAgents.add(newAgent(index));
        }
        // Agents accept keys only after the window in which records may be missing.
        advance((int) KEY_VALIDITY.missingRecordWindow().toMillis());
        for (int entry = 0; entry < ENTRIES; entry++) {
            for (int agent = 0; agent < AGENTS; agent++) {
                connect(entry, agent);
            }
        }
        advance(MAXIMUM_DELAY_MS);
    }

    void advance(int ms) {
        mScheduler.advanceTimeBy(ms, TimeUnit.MILLISECONDS);
    }

    void submit(int entry, boolean idempotent, int deadlineMs) {
        submit(mEntries.get(entry), idempotent, deadlineMs, Optional.empty(), "");
    }

    void burst(int entry, int size) {
        for (int index = 0; index < size; index++) {
            submit(entry, index % 2 == 0, 400);
        }
    }

    /** Submits a copy of a key; the key at an index is replaced once it must not be reused. */
    void submitKeyed(int entry, int keyIndex, boolean differentContent, int deadlineMs) {
        Key key = mKeys.get(keyIndex);
        if (key == null || nowMs() - key.createdMs() > KEY_VALIDITY.validity().toMillis()) {
            key = new Key(new IdempotencyKey("key" + keyIndex + "-" + nowMs()), nowMs());
            mKeys.put(keyIndex, key);
        }
        String content = key.key().value() + (differentContent ? " with other content" : "");
        submit(mEntries.get(entry), false, deadlineMs, Optional.of(key.key()), content);
    }

    private void submit(
            SimulatedEntry entry,
            boolean idempotent,
            int deadlineMs,
            Optional<IdempotencyKey> key,
            String content) {
        int number = mOracle.calls().size();
        CallerRequest.Builder builder =
                CallerRequest.builder(SERVICE, new TeamName("team"))
                        .method("POST")
                        .headers(
                                List.of(
                                        new HttpHeader(
                                                RequestOracle.CALL_HEADER,
                                                Integer.toString(number))))
                        .body(
                                (key.isPresent() ? content : "call " + number)
                                        .getBytes(StandardCharsets.UTF_8))
                        .idempotent(idempotent)
                        .mappingVersion(entry.mMapping.version())
                        .remainingMs(deadlineMs);
        key.ifPresent(builder::idempotencyKey);
        CallerRequest request = builder.build();
        RequestOracle.CallRecord call =
                mOracle.addCall(
                        new RequestOracle.CallRecord(number, request, nowMs() + deadlineMs));
        entry.mCalls.add(call);
        call.mSubscription =
                entry.mCoordinator
                        .submit(request)
                        .subscribe(
                                result -> {
                                    call.mResults.add(result);
                                    call.mRespondedMs = nowMs();
                                });
    }

    /** Cancels a recent call by disposing its subscription. */
    void dispose(int entry, int callsBack) {
        List<RequestOracle.CallRecord> calls = mEntries.get(entry).mCalls;
        if (callsBack >= calls.size()) {
            return;
        }
        RequestOracle.CallRecord call = calls.get(calls.size() - 1 - callsBack);
        if (call.mResults.isEmpty()) {
            call.mCallerGone = true;
            call.mSubscription.dispose();
        }
    }

    /** Breaks a connection; the entry detects this later or when the next one opens. */
    void disconnect(int entry, int agent) {
        breakConnection(mEntries.get(entry), mAgents.get(agent).mId);
    }

    /** Connects an agent to an entry, whether or not its old connection is broken. */
    void connect(int entryIndex, int agentIndex) {
        SimulatedEntry entry = mEntries.get(entryIndex);
        SimulatedAgent agent = mAgents.get(agentIndex);
        breakConnection(entry, agent.mId);
        SessionNumber session = new SessionNumber(++agent.mSessions);
        agent.mService.openSession(entry.mId, entry.mIncarnation, session);
        LinkSession link = new LinkSession(agent.mId, agent.mIncarnation, session);
        SimulatedEntry.Connection connection = new SimulatedEntry.Connection(link, agent);
        entry.mConnections.put(agent.mId, connection);
        runAfterRandomDelay(
                () -> {
                    if (entry.mAlive && entry.mConnections.get(agent.mId) == connection) {
                        connection.mOpenAtEntry = true;
                        entry.mCoordinator.onLinkOpened(link);
                    }
                });
    }

    void restartAgent(int index) {
        SimulatedAgent old = mAgents.get(index);
        old.kill();
        mEntries.forEach(entry -> breakConnection(entry, old.mId));
        mAgents.set(index, newAgent(index));
        for (int entry = 0; entry < ENTRIES; entry++) {
            connect(entry, index);
        }
    }

    void restartEntry(int index) {
        SimulatedEntry old = mEntries.get(index);
        mAgents.forEach(agent -> breakConnection(old, agent.mId));
        old.mAlive = false;
        old.mCalls.stream()
                .filter(call -> call.mResults.isEmpty())
                .forEach(call -> call.mCallerGone = true);
        old.mCalls.forEach(call -> call.mSubscription.dispose());
        mEntries.set(index, newEntry(old.mId));
        for (int agent = 0; agent < AGENTS; agent++) {
            connect(index, agent);
        }
    }

    void startDrain(int agent) {
        mAgents.get(agent).startDrain();
    }

    /** Publishes a mapping, which each process receives after its own delay. */
    void changeMapping(int instances) {
        mMapping = mapping(mMapping.version().value() + 1, instances);
        Mapping mapping = mMapping;
        for (SimulatedEntry entry : mEntries) {
            runAfterRandomDelay(() -> entry.configure(mapping));
        }
        for (SimulatedAgent agent : mAgents) {
            runAfterRandomDelay(() -> agent.configure(mapping));
        }
    }

    /** Reconnects all processes, runs until all calls have ended and checks the results. */
    RequestOracle finish() {
        for (int entry = 0; entry < ENTRIES; entry++) {
            for (int agent = 0; agent < AGENTS; agent++) {
                connect(entry, agent);
            }
        }
        advance(10_000);
        mOracle.check();
        for (SimulatedEntry entry : mEntries) {
            assertThat(entry.mCoordinator.outstandingAttempts()).as("outstanding").isZero();
            assertThat(entry.mReservations).as("reservations").isZero();
            assertThat(entry.mPermits).as("permits").isZero();
        }
        for (SimulatedAgent agent : mAgents) {
            assertThat(agent.mService.inProgress()).as("in progress").isZero();
        }
        return mOracle;
    }

    private SimulatedEntry newEntry(ProcessId id) {
        SimulatedEntry entry = new SimulatedEntry(id, new Incarnation(++mIncarnations), this);
        entry.configure(mMapping);
        return entry;
    }

    private SimulatedAgent newAgent(int index) {
        SimulatedAgent agent =
                new SimulatedAgent(
                        new ProcessId("agent" + index),
                        new Incarnation(++mIncarnations),
                        new InstanceNumber(index),
                        KEY_VALIDITY,
                        mOracle,
                        mScheduler,
                        mRandom);
        agent.configure(mMapping);
        return agent;
    }

    private static Mapping mapping(long version, int instances) {
        List<InstanceNumber> numbers = new ArrayList<>();
        for (int index = 0; index < instances; index++) {
            numbers.add(new InstanceNumber(index));
        }
        return new Mapping(new ConfigurationVersion(version), numbers);
    }

    private void breakConnection(SimulatedEntry entry, ProcessId agent) {
        SimulatedEntry.Connection connection = entry.mConnections.get(agent);
        if (connection == null || connection.mBroken) {
            return;
        }
        connection.mBroken = true;
        if (mRandom.nextBoolean()) {
            runAfterRandomDelay(() -> closeAtEntry(entry, connection));
        }
    }

    private static void closeAtEntry(SimulatedEntry entry, SimulatedEntry.Connection connection) {
        if (entry.mAlive && connection.mOpenAtEntry) {
            connection.mOpenAtEntry = false;
            entry.mCoordinator.onLinkClosed(connection.mSession);
        }
    }

    boolean send(SimulatedEntry entry, ProcessId agent, Message message) {
        SimulatedEntry.Connection connection = entry.mConnections.get(agent);
        if (connection == null || !connection.mOpenAtEntry || mRandom.nextInt(20) == 0) {
            return false;
        }
        deliver(connection, () -> receiveAtAgent(entry, connection, message));
        return true;
    }

    private void receiveAtAgent(
            SimulatedEntry entry, SimulatedEntry.Connection connection, Message message) {
        if (!connection.mAgent.alive()) {
            return;
        }
        SessionNumber session = connection.mSession.session();
        if (message instanceof Invoke invoke) {
            connection.mAgent.mService.invoke(
                    entry.mId,
                    session,
                    invoke,
                    result -> deliverResponse(entry, connection, result));
        } else if (message instanceof Cancel cancel) {
            CancelResult result =
                    connection.mAgent.mService.cancel(
                            cancel.request(), late -> deliverResponse(entry, connection, late));
            deliver(
                    connection,
                    () -> {
                        if (entry.mAlive) {
                            entry.mCoordinator.onCancelResult(connection.mSession, result);
                        }
                    });
        }
    }

    private void deliverResponse(
            SimulatedEntry entry, SimulatedEntry.Connection connection, InvokeResult result) {
        if (connection.mAgent.alive()) {
            deliver(
                    connection,
                    () -> {
                        if (entry.mAlive) {
                            entry.mCoordinator.onInvokeResult(connection.mSession, result);
                        }
                    });
        }
    }

    private void deliver(SimulatedEntry.Connection connection, Runnable delivery) {
        if (connection.mBroken) {
            return;
        }
        boolean survivesBreak = mRandom.nextBoolean();
        runAfterRandomDelay(
                () -> {
                    if (!connection.mBroken || survivesBreak) {
                        delivery.run();
                    }
                });
    }

    private void runAfterRandomDelay(Runnable action) {
        Disposable unused =
                mScheduler.scheduleDirect(
                        action, 1 + mRandom.nextInt(MAXIMUM_DELAY_MS), TimeUnit.MILLISECONDS);
    }

    private long nowMs() {
        return mScheduler.now(TimeUnit.MILLISECONDS);
    }
}
