package org.hickorycleat.daemon.fleet;

import io.reactivex.rxjava3.core.Scheduler;
import io.reactivex.rxjava3.core.Single;
import io.reactivex.rxjava3.subjects.SingleSubject;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import org.hickorycleat.daemon.logging.EventLog;
import org.hickorycleat.logic.port.RecordStore;
import org.hickorycleat.logic.port.SingleCallbacks;
import org.hickorycleat.logic.port.StoreUnavailableException;
import org.hickorycleat.model.identifier.ProcessId;
import org.hickorycleat.model.message.Message;
import org.hickorycleat.model.message.RelayedStoreRequest;
import org.hickorycleat.model.message.RelayedStoreResponse;
import org.hickorycleat.model.store.AppendOutcome;
import org.hickorycleat.model.store.AppendResult;
import org.hickorycleat.model.store.StoreAppendRequest;
import org.hickorycleat.model.store.StorePage;
import org.hickorycleat.model.store.StoreReadRequest;
import org.hickorycleat.model.store.StoreRecord;

/**
 * Reaches the store directly, or through a peer while the store turns this machine away.
 *
 * <p>An append that may have taken effect is sent again through a peer; callers therefore only
 * append what may be appended twice or names a producer.
 */
final class RelayingRecordStore implements RecordStore {
    private static final EventLog LOG = EventLog.of(RelayingRecordStore.class);

    /** How long peers are asked first after the direct way failed, in milliseconds. */
    private static final long AVOID_MS = 1_500;

    /** Time limit of a call through a peer, in milliseconds. */
    private static final long RELAY_TIMEOUT_MS = 700;

    /** Without an answer for this long the store counts as lost, in milliseconds. */
    private static final long LOST_MS = 600;

    private final RecordStore mDirect;
    private final PeerSender mLinks;
    private final Supplier<Optional<ProcessId>> mRelays;
    private final Scheduler mScheduler;
    private final Map<Long, SingleSubject<RelayedStoreResponse>> mCalls = new HashMap<>();
    private long mLastCall;
    private long mAvoidUntilMs = Long.MIN_VALUE;
    private long mAnsweredAtMs;
    private long mDirectlyAnsweredAtMs;

    /** Sends messages to peers. */
    @FunctionalInterface
    interface PeerSender {
        /** Sends a message; returns false when it is certain that it is never sent. */
        boolean send(ProcessId peer, Message message);
    }

    /**
     * Creates the store.
     *
     * @param relays names a peer that reaches the store
     */
    RelayingRecordStore(
            RecordStore direct,
            PeerSender links,
            Supplier<Optional<ProcessId>> relays,
            Scheduler scheduler) {
        mDirect = direct;
        mLinks = links;
        mRelays = relays;
        mScheduler = scheduler;
    }

    /** Returns how long ago the store answered, by any way, in milliseconds. */
    synchronized long lastResponseAgeMs() {
        return nowMs() - mAnsweredAtMs;
    }

    /** Tells whether the store has stopped to answer, by any way. */
    synchronized boolean isUnavailable() {
        return isAvoided() && lastResponseAgeMs() > LOST_MS;
    }

    /** Tells whether the store answers this process itself. */
    synchronized boolean isDirectlyReachable() {
        return nowMs() >= mAvoidUntilMs && mDirectlyAnsweredAtMs > 0;
    }

    @Override
    public Single<AppendOutcome> append(StoreAppendRequest terms, List<StoreRecord> records) {
        return Single.defer(() -> appendSomehow(terms, records));
    }

    private Single<AppendOutcome> appendSomehow(
            StoreAppendRequest terms, List<StoreRecord> records) {
        Optional<ProcessId> relay = mRelays.get();
        if (relay.isPresent() && isAvoided()) {
            return relayAppend(relay.get(), terms, records)
                    .flatMap(
                            outcome ->
                                    isAnswered(outcome)
                                            ? Single.just(outcome)
                                            : directAppend(terms, records)
                                                    .map(last -> joined(outcome, last)));
        }
        return directAppend(terms, records)
                .flatMap(
                        outcome ->
                                isAnswered(outcome) || mRelays.get().isEmpty()
                                        ? Single.just(outcome)
                                        : relayAppend(mRelays.get().get(), terms, records)
                                                .map(last -> joined(outcome, last)));
    }

    // A refusal only counts as such when no earlier try may have taken effect.
    private static AppendOutcome joined(AppendOutcome first, AppendOutcome last) {
        boolean unknown =
                last.result() == AppendResult.REFUSED && first.result() == AppendResult.UNKNOWN;
        return unknown ? first : last;
    }

    private static boolean isAnswered(AppendOutcome outcome) {
        return outcome.result() != AppendResult.REFUSED && outcome.result() != AppendResult.UNKNOWN;
    }

    private Single<AppendOutcome> directAppend(
            StoreAppendRequest terms, List<StoreRecord> records) {
        return mDirect.append(terms, records)
                .doOnSuccess(
                        outcome -> {
                            if (isAnswered(outcome)) {
                                onDirectAnswer();
                            } else {
                                onDirectFailure(outcome.result().name());
                            }
                        });
    }

    private Single<AppendOutcome> relayAppend(
            ProcessId relay, StoreAppendRequest terms, List<StoreRecord> records) {
        return relayed(
                        relay,
                        number ->
                                new RelayedStoreRequest(
                                        number, Optional.of(terms), records, Optional.empty()))
                .map(answer -> answer.append().orElse(new AppendOutcome(AppendResult.UNKNOWN, 0)))
                .doOnSuccess(
                        outcome -> {
                            if (isAnswered(outcome)) {
                                onAnswer();
                            }
                        })
                .onErrorReturnItem(new AppendOutcome(AppendResult.UNKNOWN, 0));
    }

    @Override
    public Single<StorePage> read(StoreReadRequest terms) {
        return Single.defer(() -> readSomehow(terms));
    }

    private Single<StorePage> readSomehow(StoreReadRequest terms) {
        Optional<ProcessId> relay = mRelays.get();
        if (relay.isPresent() && isAvoided()) {
            return relayRead(relay.get(), terms).onErrorResumeNext(error -> directRead(terms));
        }
        return directRead(terms)
                .onErrorResumeNext(
                        error ->
                                mRelays.get()
                                        .map(peer -> relayRead(peer, terms))
                                        .orElseGet(() -> Single.error(error)));
    }

    private Single<StorePage> directRead(StoreReadRequest terms) {
        return mDirect.read(terms)
                .doOnSuccess(page -> onDirectAnswer())
                .doOnError(error -> onDirectFailure(String.valueOf(error.getMessage())));
    }

    private Single<StorePage> relayRead(ProcessId relay, StoreReadRequest terms) {
        // A peer must not be made to hold a read for this process.
        StoreReadRequest atOnce =
                terms.newest()
                        ? terms
                        : StoreReadRequest.log(
                                terms.topic(), terms.partition(), terms.fromOffset(), 0);
        return relayed(
                        relay,
                        number ->
                                new RelayedStoreRequest(
                                        number, Optional.empty(), List.of(), Optional.of(atOnce)))
                .flatMap(
                        answer ->
                                answer.page().isPresent()
                                        ? Single.just(answer.page().get())
                                        : Single.error(
                                                new StoreUnavailableException("not relayed")))
                .doOnSuccess(page -> onAnswer());
    }

    private Single<RelayedStoreResponse> relayed(
            ProcessId relay, java.util.function.LongFunction<RelayedStoreRequest> call) {
        SingleSubject<RelayedStoreResponse> answer = SingleSubject.create();
        long number;
        synchronized (this) {
            number = ++mLastCall;
            mCalls.put(number, answer);
        }
        if (!mLinks.send(relay, call.apply(number))) {
            forget(number);
            return Single.error(new StoreUnavailableException("no link to relay"));
        }
        return answer.timeout(RELAY_TIMEOUT_MS, TimeUnit.MILLISECONDS, mScheduler)
                .doFinally(() -> forget(number));
    }

    private synchronized void forget(long number) {
        mCalls.remove(number);
    }

    /** Takes the answer of a relay. */
    void onAnswer(RelayedStoreResponse answer) {
        SingleSubject<RelayedStoreResponse> waiting;
        synchronized (this) {
            waiting = mCalls.get(answer.number());
        }
        if (waiting != null) {
            waiting.onSuccess(answer);
        }
    }

    /** Makes a call for a peer. */
    void onRelayedRequest(ProcessId peer, RelayedStoreRequest call) {
        if (call.append().isPresent()) {
            SingleCallbacks.subscribe(
                    directAppend(call.append().get(), call.records()),
                    outcome ->
                            mLinks.send(
                                    peer,
                                    new RelayedStoreResponse(
                                            call.number(), Optional.of(outcome), Optional.empty())),
                    error -> relayFailed(peer, call, error));
        } else if (call.read().isPresent()) {
            SingleCallbacks.subscribe(
                    directRead(call.read().get()),
                    page ->
                            mLinks.send(
                                    peer,
                                    new RelayedStoreResponse(
                                            call.number(), Optional.empty(), Optional.of(page))),
                    error -> relayFailed(peer, call, error));
        }
    }

    private void relayFailed(ProcessId peer, RelayedStoreRequest call, Throwable error) {
        LOG.event("relay_failed").with("peer", peer).with("cause", error).info();
        mLinks.send(
                peer, new RelayedStoreResponse(call.number(), Optional.empty(), Optional.empty()));
    }

    private synchronized boolean isAvoided() {
        return nowMs() < mAvoidUntilMs;
    }

    private synchronized void onAnswer() {
        mAnsweredAtMs = nowMs();
    }

    private synchronized void onDirectAnswer() {
        mAnsweredAtMs = nowMs();
        mDirectlyAnsweredAtMs = nowMs();
        if (mAvoidUntilMs != Long.MIN_VALUE) {
            mAvoidUntilMs = Long.MIN_VALUE;
            LOG.event("store_regained").info();
        }
    }

    private synchronized void onDirectFailure(String cause) {
        if (mAvoidUntilMs == Long.MIN_VALUE) {
            LOG.event("store_lost").with("cause", cause).warn();
        }
        mAvoidUntilMs = nowMs() + AVOID_MS;
    }

    private long nowMs() {
        return mScheduler.now(TimeUnit.MILLISECONDS);
    }
}
