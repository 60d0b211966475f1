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
 * Returns exactly one result for each caller's request: a response, a confirmation that it did not
 * run, or the statement that the outcome is unknown.
 *
 * <p>Thread-safe. Results are emitted without holding a lock.
 */
public final class RequestCoordinator {
    /** Interval at which a cancellation that the link did not accept is sent again. */
    private static final long CANCEL_RETRY_INTERVAL_MS = 50;

    private final TargetSelector mSelector;
    private final AdmissionControl mAdmission;
    private final AgentLink mLink;
    private final Scheduler mScheduler;
    private final RetryBudget mBudget;
    private final KeyValidity mKeyValidity;
    private final RequestId mUnsentRequest;
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
        mUnsentRequest = new RequestId(builder.mEntry, builder.mIncarnation, 0);
        mOutstanding =
                new OutstandingRequests(builder.mEntry, builder.mIncarnation, builder.mShards);
    }

    /** Returns a builder of the coordinator of an entry. */
    public static Builder builder(ProcessId entry, Incarnation incarnation) {
        return new Builder(entry, incarnation);
    }

    /** Sets the instances to which the idempotency keys of a service are mapped. */
    public void configureMapping(
            ServiceName service, ConfigurationVersion version, List<InstanceNumber> instances) {
        mMappings.compute(
                service,
                (name, old) ->
                        old == null
                                ? KeyMapping.initial(name, version, instances, mKeyValidity)
                                : old.replacedBy(version, instances, nowMs()));
    }

    /** Serves a request once per subscription; disposing the subscription cancels it. */
    public Single<InvokeResult> submit(CallerRequest request) {
        return Single.create(
                emitter -> {
                    mBudget.recordRequest();
                    new Call(this, request, emitter).start();
                });
    }

    /** Resolves attempts on older connections to the agent, which the agent has fenced. */
    public void onLinkOpened(LinkSession session) {
        OutstandingRequests.AffectedAttempts affected = mOutstanding.open(session);
        affected.lost().forEach(attempt -> attempt.owner().onAgentLost(attempt));
        affected.unresolved().forEach(attempt -> resolve(attempt, session));
    }

    /** Retries repeatable attempts at other targets; the others wait for the next connection. */
    public void onLinkClosed(LinkSession session) {
        mOutstanding.close(session).forEach(attempt -> attempt.owner().onLinkLost(attempt));
    }

    /** Handles a response received on a connection. */
    public void onInvokeResult(LinkSession session, InvokeResult result) {
        mOutstanding
                .removeForResponse(result.request(), session)
                .ifPresentOrElse(
                        attempt -> attempt.owner().onResponse(attempt, result),
                        mUnmatchedAnswers::incrementAndGet);
    }

    /** Handles the response to a cancellation received on a connection. */
    public void onCancelResult(LinkSession session, CancelResult result) {
        switch (result.state()) {
            case NOT_RUN ->
                    mOutstanding
                            .removeForResponse(result.request(), session)
                            .ifPresentOrElse(
                                    attempt -> attempt.owner().onNotRun(attempt),
                                    mUnmatchedAnswers::incrementAndGet);
            case RUNNING -> {
                // The response follows on this connection.
                if (!mOutstanding.isExpected(result.request(), session)) {
                    mUnmatchedAnswers.incrementAndGet();
                }
            }
            case FINISHED ->
                    result.result()
                            .filter(response -> response.request().equals(result.request()))
                            .ifPresentOrElse(
                                    response -> onInvokeResult(session, response),
                                    mUnmatchedAnswers::incrementAndGet);
        }
    }

    /** Returns the number of responses discarded because they matched no outstanding request. */
    public long unmatchedAnswers() {
        return mUnmatchedAnswers.get();
    }

    /** Returns the number of attempts without a response. */
    public int outstandingAttempts() {
        return mOutstanding.size();
    }

    /** Marks an attempt as sent; resolves it if its connection was replaced in the meantime. */
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
                        () -> resolve(attempt, session),
                        CANCEL_RETRY_INTERVAL_MS,
                        TimeUnit.MILLISECONDS);
    }

    /** Returns the instance that must serve a request; empty if any instance may. */
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
        if (nowMs() - submittedMs > mKeyValidity.attemptWindow().toMillis()) {
            // A later attempt could reach a restarted agent that accepts keys again without the
            // record of this one.
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

    RequestId unsentRequest() {
        return mUnsentRequest;
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

        /** Sets the selector of targets. */
        public Builder selector(TargetSelector selector) {
            mSelector = selector;
            return this;
        }

        /** Sets admission control. */
        public Builder admission(AdmissionControl admission) {
            mAdmission = admission;
            return this;
        }

        /** Sets the link to the agents. */
        public Builder link(AgentLink link) {
            mLink = link;
            return this;
        }

        /** Sets the scheduler that provides clock and timers. */
        public Builder scheduler(Scheduler scheduler) {
            mScheduler = scheduler;
            return this;
        }

        /** Sets the retry budget. */
        public Builder retryBudget(RetryBudget budget) {
            mBudget = budget;
            return this;
        }

        /** Sets the validity of idempotency keys. */
        public Builder keyValidity(KeyValidity keyValidity) {
            mKeyValidity = keyValidity;
            return this;
        }

        /** Sets the number of shards of outstanding requests. */
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
