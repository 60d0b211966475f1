package org.hickorycleat.daemon.fleet;

import static org.assertj.core.api.Assertions.assertThat;

import io.reactivex.rxjava3.core.Single;
import io.reactivex.rxjava3.schedulers.TestScheduler;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
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
    private static final ProcessId PEER = new ProcessId("entry-2");
    private static final StoreAppendRequest REQUEST =
            StoreAppendRequest.unconditional("keyed.jobs", 0);

    private final TestScheduler mScheduler = new TestScheduler();
    private final List<Message> mSent = new ArrayList<>();
    private Optional<ProcessId> mRelay = Optional.of(PEER);
    private AppendResult mDirectResult = AppendResult.APPENDED;
    private int mDirectCalls;
    private final RelayingRecordStore mStore =
            new RelayingRecordStore(
                    this,
                    (peer, message) -> {
                        mSent.add(message);
                        return true;
                    },
                    () -> mRelay,
                    mScheduler);

    @Override
    public Single<AppendOutcome> append(StoreAppendRequest request, List<StoreRecord> records) {
        mDirectCalls++;
        return Single.just(new AppendOutcome(mDirectResult, 4));
    }

    @Override
    public Single<StorePage> read(StoreReadRequest request) {
        mDirectCalls++;
        return Single.error(new StoreUnavailableException("down"));
    }

    private void respond(AppendResult result) {
        RelayedStoreRequest request = (RelayedStoreRequest) mSent.get(mSent.size() - 1);
        mStore.onRelayedResponse(
                new RelayedStoreResponse(
                        request.number(),
                        Optional.of(new AppendOutcome(result, 9)),
                        Optional.empty()));
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
}
