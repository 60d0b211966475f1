package org.hickorycleat.logic.retry;

import io.reactivex.rxjava3.core.Scheduler;
import io.reactivex.rxjava3.core.Single;
import io.reactivex.rxjava3.disposables.Disposable;
import io.reactivex.rxjava3.schedulers.Schedulers;
import io.vavr.control.Either;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import org.hickorycleat.logic.admission.AdmissionControl;
import org.hickorycleat.logic.invocation.KeyMapping;
import org.hickorycleat.logic.invocation.KeyValidity;
import org.hickorycleat.logic.port.AgentLink;
import org.hickorycleat.logic.routing.TargetSelector;
import org.hickorycleat.model.identifier.ConfigurationVersion;
import org.hickorycleat.model.identifier.IdempotencyKey;
import org.hickorycleat.model.identifier.Incarnation;
import org.hickorycleat.model.identifier.InstanceNumber;
import org.hickorycleat.model.identifier.ProcessId;
import org.hickorycleat.model.identifier.RequestId;
import org.hickorycleat.model.identifier.ServiceName;
import org.hickorycleat.model.message.Cancel;
import org.hickorycleat.model.message.CancelResult;
import org.hickorycleat.model.message.InvokeResult;
import org.hickorycleat.model.result.ResultCode;

/**
 * Brings each caller's request to one result that is true: an answer, a proof that it was not run,
 * or the statement that this is not known.
 *
 * <p>All methods may be called by several threads. Results are emitted without any lock held.
 */
public final class RequestCoordinator {
    /** Time after which a cancellation that the link refused is sent again. */
    private static final long RESOLVE_RETRY_MS = 50;

    private final TargetSelector mSelector;
    private final AdmissionControl mAdmission;
    private final AgentLink mLink;
    private final Scheduler mScheduler;
    private final RetryBudget mBudget;
    private final KeyValidity mKeyValidity;
    private final RequestId mNeverSent;
    private final OutstandingRequests mOutstanding;
    private final Map<ServiceName, KeyMapping> mMappings = new ConcurrentHashMap<>();
    private final AtomicLong mUnmatchedAnswers = new AtomicLong();

    private RequestCoordinator(Builder builder) {
        mSelector = builder.mSelector;
        mAdmission = builder.mAdmission;
        mLink = builder.mLink;
        mScheduler = builder.mScheduler;
        mBudget = builder.mBudget;
        mKeyValidity = builder.mKeyValidity;
        mNeverSent = new RequestId(builder.mEntry, builder.mIncarnation, 0);
        mOutstanding =
                new OutstandingRequests(builder.mEntry, builder.mIncarnation, builder.mShards);
    }

    /** Starts building the coordinator of an entry. */
    public static Builder builder(ProcessId entry, Incarnation incarnation) {
        return new Builder(entry, incarnation);
    }

    /** Sets the instance numbers to which the keys of a service are mapped. */
    public void configureMapping(
            ServiceName service, ConfigurationVersion version, List<InstanceNumber> instances) {
        mMappings.compute(
                service,
                (name, old) ->
                        old == null
                                ? KeyMapping.initial(name, version, instances, mKeyValidity)
                                : old.replacedBy(version, instances, nowMs()));
    }

    /** Serves a request once for each subscriber; disposing cancels it. */
    public Single<InvokeResult> submit(CallerRequest request) {
        return Single.create(
                emitter -> {
                    mBudget.countRequest();
                    new Call(this, request, emitter).begin();
                });
    }

    /** Resolves what was sent on older connections to the agent, which has fenced them. */
    public void onLinkOpened(LinkSession session) {
        OutstandingRequests.Reopened reopened = mOutstanding.open(session);
        reopened.lost().forEach(attempt -> attempt.owner().onAgentLost(attempt));
        reopened.unresolved().forEach(attempt -> resolve(attempt, session));
    }

    /** Retries elsewhere what may be repeated; the rest waits for the next connection. */
    public void onLinkClosed(LinkSession session) {
        mOutstanding.close(session).forEach(attempt -> attempt.owner().onLinkLost(attempt));
    }

    /** Takes an answer that arrived on a connection. */
    public void onInvokeResult(LinkSession session, InvokeResult result) {
        mOutstanding
                .removeAnswered(result.request(), session)
                .ifPresentOrElse(
                        attempt -> attempt.owner().onAnswer(attempt, result),
                        mUnmatchedAnswers::incrementAndGet);
    }

    /** Takes the answer to a cancellation that arrived on a connection. */
    public void onCancelResult(LinkSession session, CancelResult result) {
        switch (result.state()) {
            case NOT_RUN ->
                    mOutstanding
                            .removeAnswered(result.request(), session)
                            .ifPresentOrElse(
                                    attempt -> attempt.owner().onNotRun(attempt),
                                    mUnmatchedAnswers::incrementAndGet);
            case RUNNING -> {
                // The answer follows on this connection.
                if (!mOutstanding.isExpected(result.request(), session)) {
                    mUnmatchedAnswers.incrementAndGet();
                }
            }
            case FINISHED ->
                    result.result()
                            .filter(answer -> answer.request().equals(result.request()))
                            .ifPresentOrElse(
                                    answer -> onInvokeResult(session, answer),
                                    mUnmatchedAnswers::incrementAndGet);
        }
    }

    /** Returns the number of answers that matched no outstanding request and were dropped. */
    public long unmatchedAnswers() {
        return mUnmatchedAnswers.get();
    }

    /** Returns the number of attempts without an answer. */
    public int outstandingAttempts() {
        return mOutstanding.size();
    }

    /** Resolves an attempt whose connection was replaced while it was being sent. */
    void onSent(Attempt attempt) {
        attempt.markSent();
        if (attempt.unresolved()) {
            resolve(attempt, attempt.session());
        }
    }

    private void resolve(Attempt attempt, LinkSession session) {
        if (!attempt.sent()
                || !mOutstanding.isExpected(attempt.request(), session)
                || mLink.send(session.agent(), new Cancel(attempt.request()))) {
            return;
        }
        Disposable unused =
                mScheduler.scheduleDirect(
                        () -> resolve(attempt, session), RESOLVE_RETRY_MS, TimeUnit.MILLISECONDS);
    }

    /** Finds the instance that must serve a request; empty when any may. */
    Either<ResultCode, Optional<InstanceNumber>> route(CallerRequest request, long submittedMs) {
        if (request.idempotencyKey().isEmpty()) {
            return Either.right(Optional.empty());
        }
        IdempotencyKey key = request.idempotencyKey().get();
        KeyMapping mapping = mMappings.get(request.service());
        if (mapping == null) {
            return Either.left(ResultCode.NO_CONFIGURATION);
        }
        if (!mapping.version().equals(request.mappingVersion())) {
            return Either.left(ResultCode.MAPPING_CHANGED);
        }
        if (nowMs() - submittedMs > mKeyValidity.launch().toMillis()) {
            // A later attempt could reach an agent that has just begun to trust its records again.
            return Either.left(ResultCode.NO_TARGET);
        }
        return mapping.route(key, nowMs()).map(Optional::of);
    }

    TargetSelector selector() {
        return mSelector;
    }

    AdmissionControl admission() {
        return mAdmission;
    }

    AgentLink link() {
        return mLink;
    }

    Scheduler scheduler() {
        return mScheduler;
    }

    RetryBudget budget() {
        return mBudget;
    }

    OutstandingRequests outstanding() {
        return mOutstanding;
    }

    RequestId neverSent() {
        return mNeverSent;
    }

    long nowMs() {
        return mScheduler.now(TimeUnit.MILLISECONDS);
    }

    long nowMicros() {
        return mScheduler.now(TimeUnit.MICROSECONDS);
    }

    /**
     * Builds a {@link RequestCoordinator}; selector, admission, link and scheduler are required.
     */
    public static final class Builder {
        private final ProcessId mEntry;
        private final Incarnation mIncarnation;
        private TargetSelector mSelector = (service, eligible) -> Optional.empty();
        private AdmissionControl mAdmission =
                (service, criticality, team, remainingMs) -> {
                    throw new IllegalStateException("no admission control was set");
                };
        private AgentLink mLink = (agent, message) -> false;
        private Scheduler mScheduler = Schedulers.computation();
        private RetryBudget mBudget = RetryBudget.standard();
        private KeyValidity mKeyValidity = KeyValidity.STANDARD;
        private int mShards = 16;

        private Builder(ProcessId entry, Incarnation incarnation) {
            mEntry = entry;
            mIncarnation = incarnation;
        }

        /** Sets what chooses targets. */
        public Builder selector(TargetSelector selector) {
            mSelector = selector;
            return this;
        }

        /** Sets what admits requests. */
        public Builder admission(AdmissionControl admission) {
            mAdmission = admission;
            return this;
        }

        /** Sets what sends messages to agents. */
        public Builder link(AgentLink link) {
            mLink = link;
            return this;
        }

        /** Sets the clock and timer. */
        public Builder scheduler(Scheduler scheduler) {
            mScheduler = scheduler;
            return this;
        }

        /** Sets the budget of retries. */
        public Builder retryBudget(RetryBudget budget) {
            mBudget = budget;
            return this;
        }

        /** Sets the times within which a key is safe. */
        public Builder keyValidity(KeyValidity keyValidity) {
            mKeyValidity = keyValidity;
            return this;
        }

        /** Sets the number of shards. */
        public Builder shards(int shards) {
            mShards = shards;
            return this;
        }

        /** Builds the coordinator. */
        public RequestCoordinator build() {
            return new RequestCoordinator(this);
        }
    }
}
