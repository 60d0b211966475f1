package org.hickorycleat.daemon.fleet;

import static org.assertj.core.api.Assertions.assertThat;

import io.reactivex.rxjava3.core.Single;
import io.reactivex.rxjava3.schedulers.TestScheduler;
import io.reactivex.rxjava3.subjects.SingleSubject;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.hickorycleat.daemon.transport.MessageCodec;
import org.hickorycleat.logic.port.RecordStore;
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
import org.junit.jupiter.api.Test;

class RelayingRecordStoreTest implements RecordStore {
    private static final int MAXIMUM_RELAYED_BYTES = 320 << 10;
    private static final ProcessId PEER = new ProcessId("entry-2");
    private static final StoreAppendRequest REQUEST =
            StoreAppendRequest.unconditional("keyed.jobs", 0);

    private final TestScheduler mScheduler = new TestScheduler();
    private final List<ProcessId> mFailedRelays = new ArrayList<>();
    private final List<Message> mSent = new ArrayList<>();
    private Optional<ProcessId> mRelay = Optional.of(PEER);
    private AppendResult mDirectResult = AppendResult.APPENDED;
    private int mDirectCalls;
    private long mWallClockMs = 1_700_000_000_000L;
    private int mMaximumMessageBytes = Integer.MAX_VALUE;
    private Single<StorePage> mDirectPage = Single.error(new StoreUnavailableException("down"));
    private final RelayingRecordStore mStore =
            new RelayingRecordStore(
                    this,
                    (peer, message) -> {
                        if (size(message) > mMaximumMessageBytes) {
                            return false;
                        }
                        mSent.add(message);
                        return true;
                    },
                    new RelayingRecordStore.Relays() {
                        @Override
                        public Optional<ProcessId> select() {
                            return mRelay;
                        }

                        @Override
                        public void onFailed(ProcessId relay) {
                            mFailedRelays.add(relay);
                        }
                    },
                    mScheduler,
                    () -> mWallClockMs);

    @Override
    public Single<AppendOutcome> append(StoreAppendRequest request, List<StoreRecord> records) {
        mDirectCalls++;
        return Single.just(new AppendOutcome(mDirectResult, 4));
    }

    @Override
    public Single<StorePage> read(StoreReadRequest request) {
        mDirectCalls++;
        return mDirectPage;
    }

    private static int size(Message message) {
        return new MessageCodec().encode(message).length;
    }

    private static StorePage page(int records, int bytes, boolean hasMore) {
        List<StoreRecord> content = new ArrayList<>();
        for (int i = 0; i < records; i++) {
            content.add(new StoreRecord(i, "key-" + (1_000 + i), new byte[bytes]));
        }
        return new StorePage(content, records, hasMore, false);
    }

    private RelayedStoreResponse relay(StoreReadRequest request) {
        mStore.onRelayedRequest(
                PEER,
                new RelayedStoreRequest(1, Optional.empty(), List.of(), Optional.of(request)));
        assertThat(mSent).hasSize(1);
        return (RelayedStoreResponse) mSent.get(0);
    }

    private void respond(AppendResult result) {
        RelayedStoreRequest request = (RelayedStoreRequest) mSent.get(mSent.size() - 1);
        mStore.onRelayedResponse(
                new RelayedStoreResponse(
                        request.number(),
                        Optional.of(new AppendOutcome(result, 9)),
                        Optional.empty()));
    }

    /** Guards against leases extended by an owner that was suspended for longer than its proof. */
    @Test
    void lastContactAgesWhileThisProcessIsPaused() {
        mStore.append(REQUEST, List.of()).test().assertComplete();
        assertThat(mStore.lastContactAgeMs()).isZero();

        mWallClockMs += 10_000;

        assertThat(mStore.lastContactAgeMs()).isEqualTo(10_000);
    }

    @Test
    void responseThatWaitedDuringPauseRenewsNoContact() {
        SingleSubject<StorePage> response = SingleSubject.create();
        mDirectPage = response;
        var read = mStore.read(StoreReadRequest.log("keyed.jobs", 0, 0, 0)).test();
        mWallClockMs += 10_000;
        response.onSuccess(page(0, 0, false));
        read.assertComplete();

        assertThat(mStore.lastContactAgeMs()).isEqualTo(10_000);
    }

    @Test
    void appendsDirectlyWhileStoreResponds() {
        mStore.append(REQUEST, List.of()).test().assertValue(new AppendOutcome(mDirectResult, 4));
        assertThat(mSent).isEmpty();
    }

    @Test
    void appendsThroughPeerWhenStoreRejects() {
        mDirectResult = AppendResult.REFUSED;
        var outcome = mStore.append(REQUEST, List.of()).test();
        respond(AppendResult.APPENDED);

        outcome.assertValue(new AppendOutcome(AppendResult.APPENDED, 9));
        assertThat(mStore.isUnavailable()).isFalse();
    }

    @Test
    void triesPeerFirstAfterDirectFailure() {
        mDirectResult = AppendResult.UNKNOWN;
        var first = mStore.append(REQUEST, List.of()).test();
        respond(AppendResult.APPENDED);
        var outcome = mStore.append(REQUEST, List.of()).test();
        respond(AppendResult.APPENDED);

        first.assertComplete();
        outcome.assertComplete();
        assertThat(mDirectCalls).isEqualTo(1);
    }

    /** Guards against reporting a rejection although an earlier attempt may have been committed. */
    @Test
    void staysUnknownWhenEarlierAttemptMayBeCommitted() {
        mDirectResult = AppendResult.UNKNOWN;
        var outcome = mStore.append(REQUEST, List.of()).test();
        respond(AppendResult.REFUSED);

        outcome.assertValue(value -> value.result() == AppendResult.UNKNOWN);
    }

    @Test
    void timesOutWhenPeerDoesNotRespond() {
        mDirectResult = AppendResult.REFUSED;
        var outcome = mStore.append(REQUEST, List.of()).test();
        mScheduler.advanceTimeBy(1, TimeUnit.SECONDS);

        outcome.assertValue(value -> value.result() == AppendResult.UNKNOWN);
    }

    @Test
    void reportsStoreAsUnavailable() {
        mScheduler.advanceTimeBy(10, TimeUnit.SECONDS);
        mRelay = Optional.empty();
        mDirectResult = AppendResult.REFUSED;
        mStore.append(REQUEST, List.of()).test().assertComplete();

        assertThat(mStore.isUnavailable()).isTrue();
        assertThat(mStore.isDirectlyReachable()).isFalse();
    }

    @Test
    void failsReadWhenNoPathIsAvailable() {
        mRelay = Optional.empty();
        mStore.read(StoreReadRequest.newest("keyed.jobs", 0, ""))
                .test()
                .assertError(StoreUnavailableException.class);
    }

    /** Guards against a relayed page that fills a slow link, or fits no frame at all. */
    @Test
    void relaysPartOfLargePageOfNewestRecords() {
        mDirectPage = Single.just(page(500, 2_000, false));

        RelayedStoreResponse response = relay(StoreReadRequest.newest("keyed.jobs", 0, ""));

        assertThat(size(response)).isLessThan(MAXIMUM_RELAYED_BYTES);
        StorePage part = response.page().orElseThrow();
        assertThat(part.records()).isNotEmpty();
        assertThat(part.records().get(0).key()).isEqualTo("key-1000");
        assertThat(part.hasMore()).isTrue();
        assertThat(part.endOffset()).isEqualTo(500);
    }

    /** Guards against a relayed page of the log that fills a slow link. */
    @Test
    void relaysPartOfLargePageOfLog() {
        mDirectPage = Single.just(page(500, 2_000, false));

        RelayedStoreResponse response = relay(StoreReadRequest.log("keyed.jobs", 0, 0, 0));

        assertThat(size(response)).isLessThan(MAXIMUM_RELAYED_BYTES);
        StorePage part = response.page().orElseThrow();
        assertThat(part.records()).isNotEmpty();
        assertThat(part.hasMore()).isFalse();
        assertThat(part.endOffset()).isEqualTo(500);
    }

    @Test
    void relaysRecordLargerThanPartOfPage() {
        mDirectPage = Single.just(page(1, 600_000, false));

        RelayedStoreResponse response = relay(StoreReadRequest.newest("keyed.op", 0, ""));

        StorePage part = response.page().orElseThrow();
        assertThat(part.records()).hasSize(1);
        assertThat(part.hasMore()).isFalse();
    }

    /** Guards against silence towards the peer when the answer fits no frame. */
    @Test
    void reportsFailureWhenRecordFitsNoFrame() {
        mMaximumMessageBytes = MessageCodec.MAXIMUM_FRAME_BYTES;
        mDirectPage = Single.just(page(1, 2_000_000, false));

        assertThat(relay(StoreReadRequest.newest("keyed.op", 0, "")).page()).isEmpty();
    }

    /** Guards against a relay that stops to use its own path because of the reads of its peers. */
    @Test
    void keepsOwnPathWhenRelayedReadFails() {
        mScheduler.advanceTimeBy(1, TimeUnit.SECONDS);
        mStore.append(REQUEST, List.of()).test().assertComplete();
        assertThat(mStore.isDirectlyReachable()).isTrue();

        assertThat(relay(StoreReadRequest.newest("keyed.jobs", 0, "")).page()).isEmpty();
        assertThat(mStore.isDirectlyReachable()).isTrue();
    }

    /** Guards against giving up a relayed part of a page that takes a second over a slow link. */
    @Test
    void waitsForRelayedReadOverSlowLink() {
        var result = mStore.read(StoreReadRequest.newest("keyed.jobs", 0, "")).test();
        mScheduler.advanceTimeBy(1, TimeUnit.SECONDS);
        RelayedStoreRequest request = (RelayedStoreRequest) mSent.get(0);
        mStore.onRelayedResponse(
                new RelayedStoreResponse(
                        request.number(), Optional.empty(), Optional.of(page(1, 10, false))));

        result.assertNoErrors().assertComplete();
    }

    /** Guards against a peer that is asked again and again although it cannot read. */
    @Test
    void reportsFailedRelayForNextSelection() {
        var page = mStore.read(StoreReadRequest.newest("keyed.jobs", 0, "")).test();
        RelayedStoreRequest request = (RelayedStoreRequest) mSent.get(0);
        mStore.onRelayedResponse(
                new RelayedStoreResponse(request.number(), Optional.empty(), Optional.empty()));
        mDirectResult = AppendResult.REFUSED;
        var outcome = mStore.append(REQUEST, List.of()).test();
        mScheduler.advanceTimeBy(2, TimeUnit.SECONDS);

        page.assertError(StoreUnavailableException.class);
        outcome.assertValue(value -> value.result() == AppendResult.UNKNOWN);
        assertThat(mFailedRelays).containsExactly(PEER, PEER);
    }

    /** Guards against a store that counts as lost because one connection has gone silent. */
    @Test
    void keepsDirectPathWhenLaterRequestGotResponse() {
        mScheduler.advanceTimeBy(1, TimeUnit.SECONDS);
        SingleSubject<StorePage> unanswered = SingleSubject.create();
        mDirectPage = unanswered;
        var read = mStore.read(StoreReadRequest.log("keyed.op", 0, 0, 1_000)).test();
        mScheduler.advanceTimeBy(1, TimeUnit.SECONDS);
        mStore.append(REQUEST, List.of()).test().assertComplete();
        mScheduler.advanceTimeBy(600, TimeUnit.MILLISECONDS);

        unanswered.onError(new StoreUnavailableException("no response in time"));

        read.assertNotComplete();
        assertThat(mStore.isDirectlyReachable()).isTrue();
    }
}
