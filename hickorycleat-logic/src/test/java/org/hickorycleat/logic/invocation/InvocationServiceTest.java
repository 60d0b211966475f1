package org.hickorycleat.logic.invocation;

import static org.assertj.core.api.Assertions.assertThat;

import io.reactivex.rxjava3.core.Single;
import io.reactivex.rxjava3.schedulers.TestScheduler;
import io.reactivex.rxjava3.subjects.SingleSubject;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.hickorycleat.logic.port.TargetNotReachedException;
import org.hickorycleat.logic.port.TargetResponse;
import org.hickorycleat.model.identifier.ConfigurationVersion;
import org.hickorycleat.model.identifier.InstanceNumber;
import org.hickorycleat.model.identifier.SessionNumber;
import org.hickorycleat.model.manifest.Criticality;
import org.hickorycleat.model.message.CancelResult;
import org.hickorycleat.model.message.CancelState;
import org.hickorycleat.model.message.Invoke;
import org.hickorycleat.model.message.InvokeResult;
import org.hickorycleat.model.result.ResultCode;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

class InvocationServiceTest {
    private static final SessionNumber SESSION = new SessionNumber(1);

    // Validity of 60 s plus an attempt window of 5 s and a maximum transit of 10 s.
    private static final long KEYS_ACCEPTED_AFTER_MS = 75_000;
    private static final long KEY_RETENTION_MS = 120_000;

    private final TestScheduler mScheduler = new TestScheduler();
    private final List<Invoke> mExchanges = new ArrayList<>();
    private final List<SingleSubject<TargetResponse>> mResponses = new ArrayList<>();
    private final List<InvokeResult> mResults = new ArrayList<>();
    private InvocationService mService = newService(100);

    @BeforeEach
    void openSession() {
        start(1, 2);
    }

    private InvocationService newService(int maximumKeyRecords) {
        return InvocationService.builder(this::exchange, mScheduler)
                .maximumKeyRecords(maximumKeyRecords)
                .build();
    }

    private Single<TargetResponse> exchange(Invoke invoke) {
        mExchanges.add(invoke);
        mResponses.add(SingleSubject.create());
        return mResponses.get(mResponses.size() - 1);
    }

    private void start(int slots, int connections) {
        mService.configure(configuration(slots, connections, 7, 1));
        mService.openSession(TestInvokes.ENTRY, TestInvokes.INCARNATION, SESSION);
    }

    private static TargetConfiguration configuration(
            int slots, int connections, long version, int instances) {
        List<InstanceNumber> mapped = new ArrayList<>();
        for (int index = 0; index < instances; index++) {
            mapped.add(new InstanceNumber(index));
        }
        return new TargetConfiguration(
                TestInvokes.SERVICE,
                new InstanceNumber(0),
                mapped,
                new ConfigurationVersion(version),
                slots,
                connections);
    }

    private void invoke(Invoke invoke) {
        mService.invoke(TestInvokes.ENTRY, SESSION, invoke, mResults::add);
    }

    private void respond(int exchange) {
        mResponses.get(exchange).onSuccess(new TargetResponse(200, List.of(), new byte[] {1}));
    }

    private void advanceUntilKeysAccepted() {
        advance(KEYS_ACCEPTED_AFTER_MS);
    }

    private void advance(long ms) {
        mScheduler.advanceTimeBy(ms, TimeUnit.MILLISECONDS);
    }

    private List<ResultCode> codes() {
        return mResults.stream().map(InvokeResult::code).toList();
    }

    private List<Long> executed() {
        return mExchanges.stream().map(invoke -> invoke.request().counter()).toList();
    }

    /** Guards against running more requests than slots and against an unbounded queue. */
    @Test
    void rejectsRequestsBeyondSlotsAndQueue() {
        invoke(TestInvokes.invoke(1));
        invoke(TestInvokes.invoke(2));
        invoke(TestInvokes.invoke(3));
        assertThat(codes()).containsExactly(ResultCode.AGENT_QUEUE_FULL);
        assertThat(executed()).containsExactly(1L);
        respond(0);
        assertThat(executed()).containsExactly(1L, 2L);
    }

    /** Guards against critical requests waiting behind sheddable ones or being rejected instead. */
    @Test
    void runsByCriticalityThenDeadlineAndRejectsTheLast() {
        start(1, 3);
        mService.configure(configuration(1, 3, 7, 1));
        invoke(TestInvokes.invoke(1));
        invoke(TestInvokes.invoke(2, Criticality.SHEDDABLE, 500));
        invoke(TestInvokes.invoke(3, Criticality.NORMAL, 900));
        invoke(TestInvokes.invoke(4, Criticality.NORMAL, 800));
        assertThat(mResults.get(0).request()).isEqualTo(TestInvokes.request(2));
        respond(0);
        respond(1);
        assertThat(executed()).containsExactly(1L, 4L, 3L);
    }

    /** Guards against running a request whose deadline has passed. */
    @Test
    void dropsExpiredRequestsBeforeTheyRun() {
        invoke(TestInvokes.invoke(1));
        invoke(TestInvokes.invoke(2, Criticality.NORMAL, 50));
        advance(50);
        respond(0);
        assertThat(codes()).containsExactly(ResultCode.OK, ResultCode.DEADLINE_EXCEEDED);
        assertThat(executed()).containsExactly(1L);
    }

    /** Guards against an unresponsive target that holds a slot forever. */
    @Test
    void endsAnExchangeAtTheDeadline() {
        invoke(TestInvokes.invoke(1));
        advance(1_000);
        assertThat(codes()).containsExactly(ResultCode.TARGET_TIMEOUT);
        assertThat(mService.inProgress()).isZero();
    }

    /** Guards against reporting a failed connection as an unknown outcome, and vice versa. */
    @Test
    void distinguishesUnreachedTargetsFromFailedOnes() {
        invoke(TestInvokes.invoke(1));
        mResponses.get(0).onError(new TargetNotReachedException("refused", new Exception()));
        invoke(TestInvokes.invoke(2));
        mResponses.get(1).onError(new IllegalStateException("reset"));
        assertThat(codes()).containsExactly(ResultCode.NO_TARGET, ResultCode.TARGET_FAILED);
    }

    /** Guards against a request that runs after its cancellation reported it as not run. */
    @Test
    void cancelsWaitingRequestsAndRejectsLaterCopies() {
        invoke(TestInvokes.invoke(1));
        invoke(TestInvokes.invoke(2));
        assertThat(mService.cancel(TestInvokes.request(2)).state()).isEqualTo(CancelState.NOT_RUN);
        assertThat(mService.cancel(TestInvokes.request(3)).state()).isEqualTo(CancelState.NOT_RUN);
        respond(0);
        invoke(TestInvokes.invoke(3));
        assertThat(executed()).containsExactly(1L);
        assertThat(codes()).containsExactly(ResultCode.OK, ResultCode.CANCELLED);
    }

    /** Guards against losing a response because its connection was lost. */
    @Test
    void reportsRunningAndFinishedRequests() {
        invoke(TestInvokes.invoke(1));
        List<InvokeResult> later = new ArrayList<>();
        CancelResult running = mService.cancel(TestInvokes.request(1), later::add);
        respond(0);
        CancelResult finished = mService.cancel(TestInvokes.request(1));
        assertThat(running.state()).isEqualTo(CancelState.RUNNING);
        assertThat(later).hasSize(1);
        assertThat(finished.state()).isEqualTo(CancelState.FINISHED);
        assertThat(finished.result().orElseThrow().code()).isEqualTo(ResultCode.OK);
    }

    /** Guards against a request that arrives on an older connection after it was resolved. */
    @Test
    void startsNoRequestOfAnOlderSession() {
        invoke(TestInvokes.invoke(1));
        invoke(TestInvokes.invoke(2));
        mService.openSession(TestInvokes.ENTRY, TestInvokes.INCARNATION, new SessionNumber(2));
        invoke(TestInvokes.invoke(3));
        respond(0);
        assertThat(executed()).containsExactly(1L);
        assertThat(mService.fencedInvokes()).isEqualTo(1);
        assertThat(mService.inProgress()).isZero();
    }

    /**
     * Guards against running a late copy of a request whose tombstone was removed by an
     * acknowledgement.
     */
    @Test
    void startsNoRequestBelowTheAcknowledgedCounter() {
        invoke(TestInvokes.acknowledging(20, 20));
        mService.acknowledge(TestInvokes.ENTRY, TestInvokes.INCARNATION, 20);
        respond(0);
        invoke(TestInvokes.invoke(5));
        CancelResult cancellation = mService.cancel(TestInvokes.request(6));
        assertThat(executed()).containsExactly(20L);
        assertThat(cancellation.state()).isEqualTo(CancelState.FINISHED);
    }

    /**
     * Guards against new requests during a drain and against a drain that interrupts running ones.
     */
    @Test
    void drainRejectsNewRequestsAndFinishesTheRest() {
        invoke(TestInvokes.invoke(1));
        invoke(TestInvokes.invoke(2));
        mService.startDrain();
        invoke(TestInvokes.invoke(3));
        respond(0);
        respond(1);
        assertThat(codes())
                .containsExactly(ResultCode.TARGET_LEAVING, ResultCode.OK, ResultCode.OK);
        assertThat(mService.inProgress()).isZero();
    }

    /** Guards against running a key again while its first copy runs or after it has ended. */
    @Test
    void copiesOfOneKeyShareOneResponse() {
        advanceUntilKeysAccepted();
        invoke(TestInvokes.keyed(1, "key", "body"));
        invoke(TestInvokes.keyed(2, "key", "body"));
        respond(0);
        invoke(TestInvokes.keyed(3, "key", "body"));
        assertThat(codes()).containsExactly(ResultCode.OK, ResultCode.OK, ResultCode.OK);
        assertThat(mResults.get(2).request()).isEqualTo(TestInvokes.request(3));
        assertThat(executed()).containsExactly(1L);
    }

    /** Guards against returning the response of one request for another one with the same key. */
    @Test
    void rejectsKeysWithOtherContent() {
        advanceUntilKeysAccepted();
        invoke(TestInvokes.keyed(1, "key", "body"));
        invoke(TestInvokes.keyed(2, "key", "other"));
        assertThat(codes()).containsExactly(ResultCode.IDEMPOTENCY_KEY_REUSED);
    }

    /** Guards against running a key again although its first execution may have taken effect. */
    @Test
    void neverRunsKeysWithUnknownOutcomeAgain() {
        advanceUntilKeysAccepted();
        invoke(TestInvokes.keyed(1, "key", "body"));
        mResponses.get(0).onError(new IllegalStateException("reset"));
        advance(KEY_RETENTION_MS - 1);
        invoke(TestInvokes.keyed(2, "key", "body"));
        assertThat(codes()).containsExactly(ResultCode.TARGET_FAILED, ResultCode.OUTCOME_UNKNOWN);
        advance(1);
        invoke(TestInvokes.keyed(3, "key", "body"));
        assertThat(executed()).containsExactly(1L, 3L);
    }

    /** Guards against rejecting a key although its request certainly did not run. */
    @Test
    void runsKeysWhoseFirstCopyDidNotReachTheTarget() {
        advanceUntilKeysAccepted();
        invoke(TestInvokes.keyed(1, "key", "body"));
        mResponses.get(0).onError(new TargetNotReachedException("refused", new Exception()));
        invoke(TestInvokes.keyed(2, "key", "body"));
        assertThat(executed()).containsExactly(1L, 2L);
    }

    /** Guards against a copy that arrives at a restarted agent with the maximum delay. */
    @Test
    void rejectsKeysUntilNoRecordCanBeMissing() {
        advance(KEYS_ACCEPTED_AFTER_MS - 1);
        invoke(TestInvokes.keyed(1, "key", "body"));
        advance(1);
        invoke(TestInvokes.keyed(2, "key", "body"));
        assertThat(codes()).containsExactly(ResultCode.KEY_MEMORY_UNCERTAIN);
        assertThat(executed()).containsExactly(2L);
    }

    /** Guards against running a key that the current mapping assigns to another instance. */
    @Test
    void rejectsKeysByAnotherMapping() {
        advanceUntilKeysAccepted();
        mService.configure(configuration(1, 2, 8, 2));
        invoke(TestInvokes.keyed(1, "key", "body"));
        assertThat(codes()).containsExactly(ResultCode.MAPPING_CHANGED);
        assertThat(executed()).isEmpty();
    }

    /** Guards against rejecting keys after a manifest that does not change the service. */
    @Test
    void servesKeysAfterChangesThatKeepTheInstances() {
        advanceUntilKeysAccepted();
        mService.configure(configuration(1, 2, 8, 1));
        invoke(TestInvokes.keyed(1, "key", "body"));
        assertThat(executed()).containsExactly(1L);
    }

    /** Guards against rejecting keys of an instance that no agent has served before. */
    @Test
    void acceptsKeysAtOnceWhenRecordsAreComplete() {
        mService.markKeyRecordsComplete(TestInvokes.SERVICE, new InstanceNumber(0));
        invoke(TestInvokes.keyed(1, "key", "body"));
        assertThat(executed()).containsExactly(1L);
    }

    /** Guards against removing old records to make space for new ones. */
    @Test
    void rejectsNewKeysWhenTheRecordsAreFull() {
        mService = newService(1);
        start(2, 4);
        advanceUntilKeysAccepted();
        invoke(TestInvokes.keyed(1, "key", "body"));
        respond(0);
        invoke(TestInvokes.keyed(2, "other", "body"));
        invoke(TestInvokes.keyed(3, "key", "body"));
        assertThat(codes()).containsExactly(ResultCode.OK, ResultCode.OVERLOADED, ResultCode.OK);
        assertThat(executed()).containsExactly(1L);
    }
}
