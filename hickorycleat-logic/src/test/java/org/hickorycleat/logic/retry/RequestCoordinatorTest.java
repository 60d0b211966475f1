package org.hickorycleat.logic.retry;

import static org.assertj.core.api.Assertions.assertThat;

import io.reactivex.rxjava3.observers.TestObserver;
import io.reactivex.rxjava3.schedulers.TestScheduler;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Predicate;
import org.hickorycleat.logic.admission.Admission;
import org.hickorycleat.logic.routing.TargetAddress;
import org.hickorycleat.logic.routing.TargetReservation;
import org.hickorycleat.model.identifier.ConfigurationVersion;
import org.hickorycleat.model.identifier.IdempotencyKey;
import org.hickorycleat.model.identifier.Incarnation;
import org.hickorycleat.model.identifier.InstanceNumber;
import org.hickorycleat.model.identifier.ProcessId;
import org.hickorycleat.model.identifier.RequestId;
import org.hickorycleat.model.identifier.ServiceName;
import org.hickorycleat.model.identifier.SessionNumber;
import org.hickorycleat.model.identifier.TeamName;
import org.hickorycleat.model.message.Cancel;
import org.hickorycleat.model.message.CancelResult;
import org.hickorycleat.model.message.CancelState;
import org.hickorycleat.model.message.HttpHeader;
import org.hickorycleat.model.message.Invoke;
import org.hickorycleat.model.message.InvokeResult;
import org.hickorycleat.model.message.LoadSignal;
import org.hickorycleat.model.message.Message;
import org.hickorycleat.model.result.ResultCode;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

class RequestCoordinatorTest {
    private static final ServiceName SERVICE = new ServiceName("booking");
    private static final ConfigurationVersion VERSION = new ConfigurationVersion(7);
    private static final List<ProcessId> AGENTS =
            List.of(new ProcessId("agent0"), new ProcessId("agent1"));

    private final TestScheduler mScheduler = new TestScheduler();
    private final List<ProcessId> mReceivers = new ArrayList<>();
    private final List<Message> mSent = new ArrayList<>();
    private final Set<ProcessId> mClosed = new HashSet<>();
    private int mOpenReservations;
    private int mOpenPermits;
    private Optional<Admission> mAdmission = Optional.empty();
    private RequestCoordinator mCoordinator = newCoordinator(new RetryBudget(100, 10));

    @BeforeEach
    void openLinks() {
        AGENTS.forEach(agent -> mCoordinator.onLinkOpened(session(agent, 1, 1)));
    }

    private RequestCoordinator newCoordinator(RetryBudget budget) {
        return RequestCoordinator.builder(new ProcessId("entry"), new Incarnation(1))
                .selector((service, eligible) -> reserve(eligible))
                .admission((service, criticality, team, ms) -> admit())
                .link(this::send)
                .scheduler(mScheduler)
                .retryBudget(budget)
                .build();
    }

    private Admission admit() {
        if (mAdmission.isPresent()) {
            return mAdmission.get();
        }
        mOpenPermits++;
        return new Admission.Admitted(() -> mOpenPermits--);
    }

    private Optional<TargetReservation> reserve(Predicate<TargetAddress> eligible) {
        for (int index = 0; index < AGENTS.size(); index++) {
            TargetAddress target =
                    new TargetAddress(AGENTS.get(index), SERVICE, new InstanceNumber(index));
            if (eligible.test(target)) {
                mOpenReservations++;
                return Optional.of(new Reservation(target));
            }
        }
        return Optional.empty();
    }

    private final class Reservation implements TargetReservation {
        private final TargetAddress mTarget;

        Reservation(TargetAddress target) {
            mTarget = target;
        }

        @Override
        public TargetAddress target() {
            return mTarget;
        }

        @Override
        public void release(ResultCode code, Optional<LoadSignal> load, long latencyMicros) {
            mOpenReservations--;
        }
    }

    private boolean send(ProcessId agent, Message message) {
        if (mClosed.contains(agent)) {
            return false;
        }
        mReceivers.add(agent);
        mSent.add(message);
        return true;
    }

    private static LinkSession session(ProcessId agent, long incarnation, long session) {
        return new LinkSession(agent, new Incarnation(incarnation), new SessionNumber(session));
    }

    private static CallerRequest.Builder unsafe() {
        return CallerRequest.builder(SERVICE, new TeamName("team")).mappingVersion(VERSION);
    }

    private static CallerRequest keyed(String key) {
        return unsafe().idempotencyKey(new IdempotencyKey(key)).build();
    }

    private TestObserver<InvokeResult> submit(CallerRequest request) {
        return mCoordinator.submit(request).test();
    }

    private Invoke invoke(int index) {
        return (Invoke) mSent.get(index);
    }

    private static InvokeResult result(RequestId request, ResultCode code) {
        return new InvokeResult(
                request, code, 200, List.of(), new byte[0], new LoadSignal(1, 0, 5));
    }

    private InvokeResult serverError(int index) {
        return new InvokeResult(
                invoke(index).request(),
                ResultCode.OK,
                500,
                List.of(),
                new byte[0],
                new LoadSignal(1, 0, 5));
    }

    private void respond(int index, ResultCode code) {
        mCoordinator.onInvokeResult(
                session(mReceivers.get(index), 1, 1), result(invoke(index).request(), code));
    }

    private void cancelled(LinkSession session, CancelState state) {
        mCoordinator.onCancelResult(
                session, new CancelResult(invoke(0).request(), state, Optional.empty()));
    }

    private void advance(long ms) {
        mScheduler.advanceTimeBy(ms, TimeUnit.MILLISECONDS);
    }

    private void assertEnded(TestObserver<InvokeResult> caller, ResultCode code) {
        assertThat(caller.values()).extracting(InvokeResult::code).containsExactly(code);
        assertThat(mOpenReservations).as("reservations").isZero();
        assertThat(mOpenPermits).as("permits").isZero();
        assertThat(mCoordinator.outstandingAttempts()).isZero();
    }

    /** Guards against responses that are returned for another request. */
    @Test
    void discardsResponsesWithoutOutstandingRequest() {
        TestObserver<InvokeResult> caller = submit(unsafe().build());
        RequestId request = invoke(0).request();
        mCoordinator.onInvokeResult(session(AGENTS.get(1), 1, 1), result(request, ResultCode.OK));
        mCoordinator.onInvokeResult(session(AGENTS.get(0), 1, 2), result(request, ResultCode.OK));
        RequestId other = new RequestId(request.entry(), new Incarnation(9), request.counter());
        mCoordinator.onInvokeResult(session(AGENTS.get(0), 1, 1), result(other, ResultCode.OK));
        caller.assertNotComplete();
        assertThat(mCoordinator.unmatchedAnswers()).isEqualTo(3);
        respond(0, ResultCode.OK);
        assertEnded(caller, ResultCode.OK);
    }

    /** Guards against a rejection without an advised retry delay. */
    @Test
    void returnsTheRejectionOfAdmissionControl() {
        mAdmission = Optional.of(new Admission.Rejected(ResultCode.OVERLOADED, 1_001));
        TestObserver<InvokeResult> caller = submit(unsafe().build());
        assertEnded(caller, ResultCode.OVERLOADED);
        assertThat(caller.values().get(0).headers())
                .containsExactly(new HttpHeader("Retry-After", "2"));
        assertThat(mSent).isEmpty();
    }

    /** Guards against counting a message as sent although the link did not accept it. */
    @Test
    void triesAnotherTargetWhenTheLinkRejects() {
        mClosed.add(AGENTS.get(0));
        TestObserver<InvokeResult> caller = submit(unsafe().build());
        assertThat(mReceivers).containsExactly(AGENTS.get(1));
        respond(0, ResultCode.OK);
        assertEnded(caller, ResultCode.OK);
        mClosed.add(AGENTS.get(1));
        assertEnded(submit(unsafe().build()), ResultCode.NO_TARGET);
    }

    /** Guards against a target that attracts requests by failing immediately. */
    @Test
    void retriesServerErrorsOfIdempotentRequestsElsewhere() {
        TestObserver<InvokeResult> caller = submit(unsafe().idempotent(true).build());
        mCoordinator.onInvokeResult(session(mReceivers.get(0), 1, 1), serverError(0));
        assertThat(mReceivers.get(1)).isNotEqualTo(mReceivers.get(0));
        respond(1, ResultCode.OK);
        assertEnded(caller, ResultCode.OK);
        assertThat(caller.values().get(0).status()).isEqualTo(200);
    }

    /** Guards against running a request that is not idempotent again after it failed. */
    @Test
    void deliversServerErrorsOfUnsafeRequests() {
        TestObserver<InvokeResult> caller = submit(unsafe().build());
        mCoordinator.onInvokeResult(session(mReceivers.get(0), 1, 1), serverError(0));
        assertThat(caller.values()).extracting(InvokeResult::status).containsExactly(500);
        assertThat(mSent).hasSize(1);
    }

    /** Guards against retries beyond the budget. */
    @Test
    void retriesRejectedRequestsWithinTheBudget() {
        mCoordinator = newCoordinator(new RetryBudget(0, 1));
        openLinks();
        TestObserver<InvokeResult> first = submit(unsafe().build());
        respond(0, ResultCode.AGENT_QUEUE_FULL);
        respond(1, ResultCode.OK);
        assertEnded(first, ResultCode.OK);
        TestObserver<InvokeResult> second = submit(unsafe().build());
        respond(2, ResultCode.TARGET_LEAVING);
        assertEnded(second, ResultCode.TARGET_LEAVING);
    }

    /** Guards against a non-idempotent request that runs twice after its connection was lost. */
    @Test
    void resolvesAnUnsafeRequestOnTheNextSession() {
        TestObserver<InvokeResult> caller = submit(unsafe().build());
        LinkSession next = session(AGENTS.get(0), 1, 2);
        mCoordinator.onLinkClosed(session(AGENTS.get(0), 1, 1));
        assertThat(mSent).hasSize(1);
        mCoordinator.onLinkOpened(next);
        assertThat(mSent.get(1)).isEqualTo(new Cancel(invoke(0).request()));
        cancelled(next, CancelState.RUNNING);
        caller.assertNotComplete();
        cancelled(next, CancelState.NOT_RUN);
        assertThat(mReceivers.get(2)).isEqualTo(AGENTS.get(1));
        respond(2, ResultCode.OK);
        assertEnded(caller, ResultCode.OK);
    }

    /**
     * Guards against reporting a request as not run without confirmation after the agent restarted.
     */
    @Test
    void newIncarnationOfTheAgentLeavesTheOutcomeUnknown() {
        TestObserver<InvokeResult> caller = submit(unsafe().build());
        mCoordinator.onLinkOpened(session(AGENTS.get(0), 2, 1));
        assertEnded(caller, ResultCode.AGENT_LOST);
        assertThat(mSent).hasSize(1);
    }

    /**
     * Guards against a rejection of the second attempt that hides that the first one may have run.
     */
    @Test
    void laterRejectionDoesNotReplaceAnUnknownOutcome() {
        TestObserver<InvokeResult> caller = submit(unsafe().idempotent(true).build());
        mCoordinator.onLinkClosed(session(AGENTS.get(0), 1, 1));
        assertThat(mReceivers).containsExactly(AGENTS.get(0), AGENTS.get(1));
        respond(1, ResultCode.OVERLOADED);
        assertEnded(caller, ResultCode.AGENT_LOST);
    }

    /** Guards against reporting a request as not run at the deadline without confirmation. */
    @Test
    void cancelsAtTheAgentBeforeTheDeadline() {
        TestObserver<InvokeResult> silent = submit(unsafe().remainingMs(100).build());
        advance(90);
        assertThat(mSent.get(1)).isEqualTo(new Cancel(invoke(0).request()));
        advance(10);
        assertEnded(silent, ResultCode.TARGET_TIMEOUT);
        mSent.clear();
        mReceivers.clear();
        TestObserver<InvokeResult> waiting = submit(unsafe().remainingMs(100).build());
        advance(90);
        cancelled(session(AGENTS.get(0), 1, 1), CancelState.NOT_RUN);
        assertEnded(waiting, ResultCode.DEADLINE_EXCEEDED);
    }

    /** Guards against reporting a lost connection as a timeout of the target. */
    @Test
    void unresolvedRequestHasUnknownOutcomeAtTheDeadline() {
        TestObserver<InvokeResult> caller = submit(unsafe().build());
        mClosed.add(AGENTS.get(0));
        mCoordinator.onLinkClosed(session(AGENTS.get(0), 1, 1));
        advance(1_000);
        assertEnded(caller, ResultCode.OUTCOME_UNKNOWN);
    }

    /** Guards against a cancelled request that still holds a reservation or a permit. */
    @Test
    void disposingTheSubscriptionCancelsTheRequest() {
        TestObserver<InvokeResult> caller = submit(unsafe().build());
        caller.dispose();
        assertThat(mSent.get(1)).isEqualTo(new Cancel(invoke(0).request()));
        assertThat(mOpenReservations).isZero();
        assertThat(mOpenPermits).isZero();
    }

    /** Guards against sending an idempotency key to an instance that lacks its record. */
    @Test
    void sendsEachKeyToItsInstanceOnly() {
        assertEnded(submit(keyed("key")), ResultCode.NO_CONFIGURATION);
        mCoordinator.configureMapping(SERVICE, VERSION, List.of(new InstanceNumber(1)));
        TestObserver<InvokeResult> caller = submit(keyed("key"));
        assertThat(mReceivers).containsExactly(AGENTS.get(1));
        respond(0, ResultCode.AGENT_QUEUE_FULL);
        assertEnded(caller, ResultCode.AGENT_QUEUE_FULL);
    }

    /** Guards against running a key at its new instance after the old one may have run it. */
    @Test
    void rejectsKeysThatMoved() {
        mCoordinator.configureMapping(SERVICE, VERSION, List.of(new InstanceNumber(0)));
        ConfigurationVersion next = new ConfigurationVersion(8);
        mCoordinator.configureMapping(SERVICE, next, List.of(new InstanceNumber(1)));
        assertEnded(submit(keyed("key")), ResultCode.MAPPING_CHANGED);
        CallerRequest current =
                unsafe().mappingVersion(next).idempotencyKey(new IdempotencyKey("key")).build();
        advance(78_000 - 1);
        assertEnded(submit(current), ResultCode.MAPPING_CHANGED);
        advance(1);
        TestObserver<InvokeResult> caller = submit(current);
        respond(0, ResultCode.OK);
        assertEnded(caller, ResultCode.OK);
    }

    /** Guards against a copy of a key that is sent after its record may have been removed. */
    @Test
    void makesNoLateAttemptsWithKeys() {
        mCoordinator.configureMapping(SERVICE, VERSION, List.of(new InstanceNumber(0)));
        TestObserver<InvokeResult> caller =
                submit(
                        unsafe().idempotencyKey(new IdempotencyKey("key"))
                                .remainingMs(Duration.ofSeconds(60).toMillis())
                                .build());
        LinkSession next = session(AGENTS.get(0), 1, 2);
        advance(5_000 + 1);
        mCoordinator.onLinkOpened(next);
        cancelled(next, CancelState.NOT_RUN);
        assertEnded(caller, ResultCode.NO_TARGET);
    }

    /** Guards against an agent that removes the record of an outstanding request. */
    @Test
    void acknowledgesOnlyBelowTheOldestOutstandingRequest() {
        TestObserver<InvokeResult> oldest = submit(unsafe().build());
        for (int index = 1; index <= 50; index++) {
            submit(unsafe().build());
            respond(index, ResultCode.OK);
        }
        assertThat(invoke(50).acknowledgedBelow())
                .isLessThanOrEqualTo(invoke(0).request().counter());
        respond(0, ResultCode.OK);
        assertEnded(oldest, ResultCode.OK);
        submit(unsafe().build());
        assertThat(invoke(51).acknowledgedBelow()).isGreaterThan(invoke(0).request().counter());
    }
}
