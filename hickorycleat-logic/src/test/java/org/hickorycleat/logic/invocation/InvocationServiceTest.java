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

    // Validity of 60 s plus 5 s to launch and 10 s on the way.
    private static final long KEYS_TRUSTED_MS = 75_000;
    private static final long KEYS_KEPT_MS = 120_000;

    private final TestScheduler mScheduler = new TestScheduler();
    private final List<Invoke> mExchanges = new ArrayList<>();
    private final List<SingleSubject<TargetResponse>> mAnswers = new ArrayList<>();
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
        mAnswers.add(SingleSubject.create());
        return mAnswers.get(mAnswers.size() - 1);
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

    private void answer(int exchange) {
        mAnswers.get(exchange).onSuccess(new TargetResponse(200, List.of(), new byte[] {1}));
    }

    private void trustKeys() {
        advance(KEYS_TRUSTED_MS);
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

    /** Guards against work beyond the slots and against a queue without bound. */
    @Test
    void refusesWhatExceedsSlotsAndQueue() {
        invoke(TestInvokes.invoke(1));
        invoke(TestInvokes.invoke(2));
        invoke(TestInvokes.invoke(3));
        assertThat(codes()).containsExactly(ResultCode.AGENT_QUEUE_FULL);
        assertThat(executed()).containsExactly(1L);
        answer(0);
        assertThat(executed()).containsExactly(1L, 2L);
    }

    /** Guards against critical work that waits behind sheddable work or is refused for it. */
    @Test
    void runsByCriticalityThenDeadlineAndDisplacesTheLast() {
        start(1, 3);
        mService.configure(configuration(1, 3, 7, 1));
        invoke(TestInvokes.invoke(1));
        invoke(TestInvokes.invoke(2, Criticality.SHEDDABLE, 500));
        invoke(TestInvokes.invoke(3, Criticality.NORMAL, 900));
        invoke(TestInvokes.invoke(4, Criticality.NORMAL, 800));
        assertThat(mResults.get(0).request()).isEqualTo(TestInvokes.request(2));
        answer(0);
        answer(1);
        assertThat(executed()).containsExactly(1L, 4L, 3L);
    }

    /** Guards against running a request whose caller no longer waits. */
    @Test
    void dropsExpiredRequestsBeforeTheyRun() {
        invoke(TestInvokes.invoke(1));
        invoke(TestInvokes.invoke(2, Criticality.NORMAL, 50));
        advance(50);
        answer(0);
        assertThat(codes()).containsExactly(ResultCode.OK, ResultCode.DEADLINE_EXCEEDED);
        assertThat(executed()).containsExactly(1L);
    }

    /** Guards against a slot that a silent target holds for ever. */
    @Test
    void endsAnExchangeAtTheDeadline() {
        invoke(TestInvokes.invoke(1));
        advance(1_000);
        assertThat(codes()).containsExactly(ResultCode.TARGET_TIMEOUT);
        assertThat(mService.inProgress()).isZero();
    }

    /** Guards against a failed connection that is taken for an unknown outcome, and the reverse. */
    @Test
    void tellsUnreachedTargetsFromFailedOnes() {
        invoke(TestInvokes.invoke(1));
        mAnswers.get(0).onError(new TargetNotReachedException("refused", new Exception()));
        invoke(TestInvokes.invoke(2));
        mAnswers.get(1).onError(new IllegalStateException("reset"));
        assertThat(codes()).containsExactly(ResultCode.NO_TARGET, ResultCode.TARGET_FAILED);
    }

    /** Guards against a cancelled request that runs after it was reported as not run. */
    @Test
    void cancelsWhatWaitsAndRefusesItLater() {
        invoke(TestInvokes.invoke(1));
        invoke(TestInvokes.invoke(2));
        assertThat(mService.cancel(TestInvokes.request(2)).state()).isEqualTo(CancelState.NOT_RUN);
        assertThat(mService.cancel(TestInvokes.request(3)).state()).isEqualTo(CancelState.NOT_RUN);
        answer(0);
        invoke(TestInvokes.invoke(3));
        assertThat(executed()).containsExactly(1L);
        assertThat(codes()).containsExactly(ResultCode.OK, ResultCode.CANCELLED);
    }

    /** Guards against the loss of an answer whose connection broke. */
    @Test
    void reportsRunningAndFinishedRequests() {
        invoke(TestInvokes.invoke(1));
        List<InvokeResult> later = new ArrayList<>();
        CancelResult running = mService.cancel(TestInvokes.request(1), later::add);
        answer(0);
        CancelResult finished = mService.cancel(TestInvokes.request(1));
        assertThat(running.state()).isEqualTo(CancelState.RUNNING);
        assertThat(later).hasSize(1);
        assertThat(finished.state()).isEqualTo(CancelState.FINISHED);
        assertThat(finished.result().orElseThrow().code()).isEqualTo(ResultCode.OK);
    }

    /** Guards against a request that an older connection brings after it was resolved. */
    @Test
    void startsNothingOfAnOlderSession() {
        invoke(TestInvokes.invoke(1));
        invoke(TestInvokes.invoke(2));
        mService.openSession(TestInvokes.ENTRY, TestInvokes.INCARNATION, new SessionNumber(2));
        invoke(TestInvokes.invoke(3));
        answer(0);
        assertThat(executed()).containsExactly(1L);
        assertThat(mService.fencedInvokes()).isEqualTo(1);
        assertThat(mService.inProgress()).isZero();
    }

    /** Guards against a late copy of a request whose tombstone the entry's progress removed. */
    @Test
    void startsNothingBelowTheAcknowledgedCounter() {
        invoke(TestInvokes.acknowledging(20, 20));
        mService.acknowledge(TestInvokes.ENTRY, TestInvokes.INCARNATION, 20);
        answer(0);
        invoke(TestInvokes.invoke(5));
        CancelResult settled = mService.cancel(TestInvokes.request(6));
        assertThat(executed()).containsExactly(20L);
        assertThat(settled.state()).isEqualTo(CancelState.FINISHED);
    }

    /** Guards against new work at a leaving target and against a drain that interrupts work. */
    @Test
    void leavingRefusesNewWorkAndFinishesTheRest() {
        invoke(TestInvokes.invoke(1));
        invoke(TestInvokes.invoke(2));
        mService.startDrain();
        invoke(TestInvokes.invoke(3));
        answer(0);
        answer(1);
        assertThat(codes())
                .containsExactly(ResultCode.TARGET_LEAVING, ResultCode.OK, ResultCode.OK);
        assertThat(mService.inProgress()).isZero();
    }

    /** Guards against a second run of a key while the first one runs or after it ended. */
    @Test
    void copiesOfOneKeyShareOneAnswer() {
        trustKeys();
        invoke(TestInvokes.keyed(1, "key", "body"));
        invoke(TestInvokes.keyed(2, "key", "body"));
        answer(0);
        invoke(TestInvokes.keyed(3, "key", "body"));
        assertThat(codes()).containsExactly(ResultCode.OK, ResultCode.OK, ResultCode.OK);
        assertThat(mResults.get(2).request()).isEqualTo(TestInvokes.request(3));
        assertThat(executed()).containsExactly(1L);
    }

    /** Guards against the answer to one request being given for another with the same key. */
    @Test
    void refusesKeysWithOtherContent() {
        trustKeys();
        invoke(TestInvokes.keyed(1, "key", "body"));
        invoke(TestInvokes.keyed(2, "key", "other"));
        assertThat(codes()).containsExactly(ResultCode.IDEMPOTENCY_KEY_REUSED);
    }

    /** Guards against running a key again whose first run may have taken effect. */
    @Test
    void neverRunsKeysWithUnknownOutcomeAgain() {
        trustKeys();
        invoke(TestInvokes.keyed(1, "key", "body"));
        mAnswers.get(0).onError(new IllegalStateException("reset"));
        advance(KEYS_KEPT_MS - 1);
        invoke(TestInvokes.keyed(2, "key", "body"));
        assertThat(codes()).containsExactly(ResultCode.TARGET_FAILED, ResultCode.OUTCOME_UNKNOWN);
        advance(1);
        invoke(TestInvokes.keyed(3, "key", "body"));
        assertThat(executed()).containsExactly(1L, 3L);
    }

    /** Guards against a key that stays blocked although its request provably did not run. */
    @Test
    void runsKeysWhoseFirstCopyDidNotReachTheTarget() {
        trustKeys();
        invoke(TestInvokes.keyed(1, "key", "body"));
        mAnswers.get(0).onError(new TargetNotReachedException("refused", new Exception()));
        invoke(TestInvokes.keyed(2, "key", "body"));
        assertThat(executed()).containsExactly(1L, 2L);
    }

    /** Guards against a copy that arrives as late as possible at a restarted agent. */
    @Test
    void refusesKeysUntilNoRecordCanBeMissing() {
        advance(KEYS_TRUSTED_MS - 1);
        invoke(TestInvokes.keyed(1, "key", "body"));
        advance(1);
        invoke(TestInvokes.keyed(2, "key", "body"));
        assertThat(codes()).containsExactly(ResultCode.KEY_MEMORY_UNCERTAIN);
        assertThat(executed()).containsExactly(2L);
    }

    /** Guards against running a key that belongs to another instance by the mapping in force. */
    @Test
    void refusesKeysByAnotherMapping() {
        trustKeys();
        mService.configure(configuration(1, 2, 8, 2));
        invoke(TestInvokes.keyed(1, "key", "body"));
        assertThat(codes()).containsExactly(ResultCode.MAPPING_CHANGED);
        assertThat(executed()).isEmpty();
    }

    /** Guards against a manifest that leaves the service alone and yet refuses its keys. */
    @Test
    void servesKeysAfterChangesThatKeepTheInstances() {
        trustKeys();
        mService.configure(configuration(1, 2, 8, 1));
        invoke(TestInvokes.keyed(1, "key", "body"));
        assertThat(executed()).containsExactly(1L);
    }

    /** Guards against keys being refused by an agent whose instance nobody served before. */
    @Test
    void servesKeysAtOnceWhenTheirMemoryIsTrusted() {
        mService.markKeyRecordsComplete(TestInvokes.SERVICE, new InstanceNumber(0));
        invoke(TestInvokes.keyed(1, "key", "body"));
        assertThat(executed()).containsExactly(1L);
    }

    /** Guards against old records being dropped for new ones when the memory is full. */
    @Test
    void refusesNewKeysWhenTheRecordsAreFull() {
        mService = newService(1);
        start(2, 4);
        trustKeys();
        invoke(TestInvokes.keyed(1, "key", "body"));
        answer(0);
        invoke(TestInvokes.keyed(2, "other", "body"));
        invoke(TestInvokes.keyed(3, "key", "body"));
        assertThat(codes()).containsExactly(ResultCode.OK, ResultCode.OVERLOADED, ResultCode.OK);
        assertThat(executed()).containsExactly(1L);
    }
}
