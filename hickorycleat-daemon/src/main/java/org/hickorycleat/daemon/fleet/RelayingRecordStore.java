package org.hickorycleat.daemon.fleet;

import io.reactivex.rxjava3.core.Scheduler;
import io.reactivex.rxjava3.core.Single;
import io.reactivex.rxjava3.subjects.SingleSubject;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import org.hickorycleat.daemon.logging.EventLog;
import org.hickorycleat.logic.election.ContactAge;
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
 * Accesses the store directly, or through a peer while the store does not serve this VM.
 *
 * <p>An append that may have been committed is retried through a peer. Callers therefore append
 * only records that may be duplicated, or name a producer.
 */
final class RelayingRecordStore implements RecordStore {
    private static final EventLog LOG = EventLog.of(RelayingRecordStore.class);

    /** Time after a direct failure during which peers are tried first, in milliseconds. */
    private static final long RELAY_FIRST_MS = 1_500;

    /** Timeout of an append through a peer, in milliseconds. */
    private static final long RELAY_APPEND_TIMEOUT_MS = 700;

    /** Timeout of a read through a peer, in milliseconds; a slow link carries a part in time. */
    private static final long RELAY_READ_TIMEOUT_MS = 1_500;

    /**
     * Maximum size of the part of a page that a peer returns, unless a single record is larger, in
     * bytes.
     */
    private static final int MAXIMUM_PART_BYTES = 256 << 10;

    /** Time without a response after which the store counts as unavailable, in milliseconds. */
    private static final long UNAVAILABLE_TIMEOUT_MS = 600;

    private final RecordStore mDirectStore;
    private final PeerSender mPeerSender;
    private final Relays mRelays;
    private final Scheduler mScheduler;
    private final Map<Long, SingleSubject<RelayedStoreResponse>> mPendingRequests = new HashMap<>();
    private long mLastRequestNumber;
    private long mRelayFirstUntilMs = Long.MIN_VALUE;
    private final ContactAge mContactAge;
    private long mLastResponseMs;
    private long mLastDirectResponseMs;

    /** Sends messages to peers. */
    @FunctionalInterface
    interface PeerSender {
        /** Sends a message; returns false only if the message is certain never to be sent. */
        boolean send(ProcessId peer, Message message);
    }

    /** Selects peers that relay requests. */
    @FunctionalInterface
    interface Relays {
        /** Returns a peer that can reach the store; empty if there is none. */
        Optional<ProcessId> select();

        /** Handles the failure of a peer to get a response of the store. */
        default void onFailed(ProcessId relay) {}
    }

    /**
     * Creates the store.
     *
     * @param relays selects peers that can reach the store
     */
    RelayingRecordStore(
            RecordStore directStore, PeerSender peerSender, Relays relays, Scheduler scheduler) {
        this(directStore, peerSender, relays, scheduler, System::currentTimeMillis);
    }

    /** Creates the store with the given wall clock, in milliseconds. */
    RelayingRecordStore(
            RecordStore directStore,
            PeerSender peerSender,
            Relays relays,
            Scheduler scheduler,
            LongSupplier wallClockMs) {
        mContactAge = new ContactAge(() -> scheduler.now(TimeUnit.MILLISECONDS), wallClockMs);
        mDirectStore = directStore;
        mPeerSender = peerSender;
        mRelays = relays;
        mScheduler = scheduler;
    }

    /**
     * Returns the time since the last response of the store, direct or relayed, in milliseconds.
     */
    synchronized long lastResponseAgeMs() {
        return nowMs() - mLastResponseMs;
    }

    /**
     * Returns how long ago the store is known to have processed a request of this process, direct
     * or relayed, in milliseconds; counts pauses of this process.
     */
    long lastContactAgeMs() {
        return mContactAge.ageMs();
    }

    /** Returns whether the store responds neither directly nor through a peer. */
    synchronized boolean isUnavailable() {
        return isRelayFirst() && lastResponseAgeMs() > UNAVAILABLE_TIMEOUT_MS;
    }

    /** Returns whether the store responds to this process directly. */
    synchronized boolean isDirectlyReachable() {
        return nowMs() >= mRelayFirstUntilMs && mLastDirectResponseMs > 0;
    }

    @Override
    public Single<AppendOutcome> append(StoreAppendRequest request, List<StoreRecord> records) {
        return Single.defer(
                () -> {
                    ContactAge.Instant sentAt = mContactAge.now();
                    return appendWithFallback(request, records)
                            .doOnSuccess(
                                    outcome -> {
                                        if (isConclusive(outcome)) {
                                            mContactAge.onResponse(sentAt);
                                        }
                                    });
                });
    }

    private Single<AppendOutcome> appendWithFallback(
            StoreAppendRequest request, List<StoreRecord> records) {
        Optional<ProcessId> relay = isRelayFirst() ? mRelays.select() : Optional.empty();
        if (relay.isPresent()) {
            return appendThroughRelay(relay.get(), request, records)
                    .flatMap(
                            outcome ->
                                    isConclusive(outcome)
                                            ? Single.just(outcome)
                                            : appendDirectly(request, records)
                                                    .map(last -> combine(outcome, last)));
        }
        return appendDirectly(request, records)
                .flatMap(
                        outcome ->
                                isConclusive(outcome)
                                        ? Single.just(outcome)
                                        : appendThroughAnyRelay(request, records, outcome));
    }

    private Single<AppendOutcome> appendThroughAnyRelay(
            StoreAppendRequest request, List<StoreRecord> records, AppendOutcome first) {
        return mRelays.select()
                .map(
                        relay ->
                                appendThroughRelay(relay, request, records)
                                        .map(last -> combine(first, last)))
                .orElseGet(() -> Single.just(first));
    }

    // A rejection is conclusive only if no earlier attempt may have been committed.
    private static AppendOutcome combine(AppendOutcome first, AppendOutcome last) {
        boolean open =
                first.result() == AppendResult.UNKNOWN && !last.result().isConclusiveForRequest();
        return open ? first : last;
    }

    private static boolean isConclusive(AppendOutcome outcome) {
        return outcome.result() != AppendResult.REFUSED && outcome.result() != AppendResult.UNKNOWN;
    }

    private Single<AppendOutcome> appendDirectly(
            StoreAppendRequest request, List<StoreRecord> records) {
        return Single.defer(
                () -> {
                    long sentAtMs = nowMs();
                    return mDirectStore
                            .append(request, records)
                            .doOnSuccess(
                                    outcome -> {
                                        if (isConclusive(outcome)) {
                                            recordDirectResponse();
                                        } else {
                                            recordDirectFailure(outcome.result().name(), sentAtMs);
                                        }
                                    });
                });
    }

    private Single<AppendOutcome> appendThroughRelay(
            ProcessId relay, StoreAppendRequest request, List<StoreRecord> records) {
        return sendToRelay(
                        relay,
                        RELAY_APPEND_TIMEOUT_MS,
                        number ->
                                new RelayedStoreRequest(
                                        number, Optional.of(request), records, Optional.empty()))
                .map(
                        response ->
                                response.append()
                                        .orElse(new AppendOutcome(AppendResult.UNKNOWN, 0)))
                .doOnSuccess(
                        outcome -> {
                            if (isConclusive(outcome)) {
                                recordResponse();
                            } else {
                                onRelayWithoutResult(relay, outcome.result());
                            }
                        })
                .doOnError(error -> onRelayWithoutResult(relay, error))
                .onErrorReturnItem(new AppendOutcome(AppendResult.UNKNOWN, 0));
    }

    @Override
    public Single<StorePage> read(StoreReadRequest request) {
        return Single.defer(
                () -> {
                    ContactAge.Instant sentAt = mContactAge.now();
                    return readWithFallback(request)
                            .doOnSuccess(page -> mContactAge.onResponse(sentAt));
                });
    }

    private Single<StorePage> readWithFallback(StoreReadRequest request) {
        Optional<ProcessId> relay = isRelayFirst() ? mRelays.select() : Optional.empty();
        if (relay.isPresent()) {
            return readThroughRelay(relay.get(), request)
                    .onErrorResumeNext(error -> readDirectly(request));
        }
        return readDirectly(request)
                .onErrorResumeNext(
                        error ->
                                mRelays.select()
                                        .map(peer -> readThroughRelay(peer, request))
                                        .orElseGet(() -> Single.error(error)));
    }

    private Single<StorePage> readDirectly(StoreReadRequest request) {
        return Single.defer(
                () -> {
                    long sentAtMs = nowMs();
                    return mDirectStore
                            .read(request)
                            .doOnSuccess(page -> recordDirectResponse())
                            .doOnError(
                                    error ->
                                            recordDirectFailure(
                                                    String.valueOf(error.getMessage()), sentAtMs));
                });
    }

    private Single<StorePage> readThroughRelay(ProcessId relay, StoreReadRequest request) {
        // A long poll would occupy the peer on behalf of this process.
        StoreReadRequest withoutWait =
                request.newest()
                        ? request
                        : StoreReadRequest.log(
                                request.topic(), request.partition(), request.fromOffset(), 0);
        return sendToRelay(
                        relay,
                        RELAY_READ_TIMEOUT_MS,
                        number ->
                                new RelayedStoreRequest(
                                        number,
                                        Optional.empty(),
                                        List.of(),
                                        Optional.of(withoutWait)))
                .flatMap(
                        response ->
                                response.page().isPresent()
                                        ? Single.just(response.page().get())
                                        : Single.error(
                                                new StoreUnavailableException(
                                                        "relay could not read from the store")))
                .doOnSuccess(page -> recordResponse())
                .doOnError(error -> onRelayWithoutResult(relay, error));
    }

    private void onRelayWithoutResult(ProcessId relay, Object cause) {
        LOG.event("relay_unavailable").with("relay", relay).with("cause", cause).info();
        mRelays.onFailed(relay);
    }

    private Single<RelayedStoreResponse> sendToRelay(
            ProcessId relay,
            long timeoutMs,
            java.util.function.LongFunction<RelayedStoreRequest> requestFactory) {
        SingleSubject<RelayedStoreResponse> response = SingleSubject.create();
        long number;
        synchronized (this) {
            number = ++mLastRequestNumber;
            mPendingRequests.put(number, response);
        }
        if (!mPeerSender.send(relay, requestFactory.apply(number))) {
            removePending(number);
            return Single.error(new StoreUnavailableException("no connection to the relay"));
        }
        return response.timeout(timeoutMs, TimeUnit.MILLISECONDS, mScheduler)
                .doFinally(() -> removePending(number));
    }

    private synchronized void removePending(long number) {
        mPendingRequests.remove(number);
    }

    /** Handles a response of a relay. */
    void onRelayedResponse(RelayedStoreResponse response) {
        SingleSubject<RelayedStoreResponse> pending;
        synchronized (this) {
            pending = mPendingRequests.get(response.number());
        }
        if (pending != null) {
            pending.onSuccess(response);
        }
    }

    /** Executes a store request for a peer. */
    void onRelayedRequest(ProcessId peer, RelayedStoreRequest request) {
        if (request.append().isPresent()) {
            SingleCallbacks.subscribe(
                    appendDirectly(request.append().get(), request.records()),
                    outcome ->
                            mPeerSender.send(
                                    peer,
                                    new RelayedStoreResponse(
                                            request.number(),
                                            Optional.of(outcome),
                                            Optional.empty())),
                    error -> onRelayFailed(peer, request, error));
        } else if (request.read().isPresent()) {
            // A failed read of a peer says little about the path of this process, whose own reads
            // are smaller or may wait longer.
            SingleCallbacks.subscribe(
                    mDirectStore
                            .read(request.read().get())
                            .doOnSuccess(page -> recordDirectResponse()),
                    page -> respondWithPart(peer, request, page),
                    error -> onRelayFailed(peer, request, error));
        }
    }

    private void respondWithPart(ProcessId peer, RelayedStoreRequest request, StorePage page) {
        boolean newest = request.read().map(StoreReadRequest::newest).orElse(false);
        RelayedStoreResponse response =
                new RelayedStoreResponse(
                        request.number(), Optional.empty(), Optional.of(firstPart(page, newest)));
        if (!mPeerSender.send(peer, response)) {
            onRelayFailed(
                    peer,
                    request,
                    new StoreUnavailableException("page cannot be sent to the peer"));
        }
    }

    private static StorePage firstPart(StorePage page, boolean newest) {
        List<StoreRecord> records = page.records();
        int length = RecordBatch.prefixLength(records, MAXIMUM_PART_BYTES);
        // A read continues after the last key; an empty key would restart it.
        while (newest && length < records.size() && records.get(length - 1).key().isEmpty()) {
            length++;
        }
        if (length == records.size()) {
            return page;
        }
        return new StorePage(
                records.subList(0, length), page.endOffset(), newest, page.truncated());
    }

    private void onRelayFailed(ProcessId peer, RelayedStoreRequest request, Throwable error) {
        LOG.event("relay_failed").with("peer", peer).with("cause", error).info();
        mPeerSender.send(
                peer,
                new RelayedStoreResponse(request.number(), Optional.empty(), Optional.empty()));
    }

    private synchronized boolean isRelayFirst() {
        return nowMs() < mRelayFirstUntilMs;
    }

    private synchronized void recordResponse() {
        mLastResponseMs = nowMs();
    }

    private synchronized void recordDirectResponse() {
        mLastResponseMs = nowMs();
        mLastDirectResponseMs = nowMs();
        if (mRelayFirstUntilMs != Long.MIN_VALUE) {
            mRelayFirstUntilMs = Long.MIN_VALUE;
            LOG.event("store_regained").info();
        }
    }

    // A response to a later request shows that only the connection or the request has failed.
    private synchronized void recordDirectFailure(String cause, long sentAtMs) {
        if (mLastDirectResponseMs > sentAtMs) {
            return;
        }
        if (mRelayFirstUntilMs == Long.MIN_VALUE) {
            LOG.event("store_lost").with("cause", cause).warn();
        }
        mRelayFirstUntilMs = nowMs() + RELAY_FIRST_MS;
    }

    private long nowMs() {
        return mScheduler.now(TimeUnit.MILLISECONDS);
    }
}
