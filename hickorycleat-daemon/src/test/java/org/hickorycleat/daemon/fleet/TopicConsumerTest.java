package org.hickorycleat.daemon.fleet;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.reactivex.rxjava3.core.Single;
import io.reactivex.rxjava3.schedulers.Schedulers;
import io.reactivex.rxjava3.schedulers.TestScheduler;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import org.awaitility.Awaitility;
import org.hickorycleat.daemon.exchange.NettyHttpClient;
import org.hickorycleat.daemon.exchange.NettyHttpServer;
import org.hickorycleat.logic.port.RecordStore;
import org.hickorycleat.logic.port.SingleCallbacks;
import org.hickorycleat.logic.port.StoreUnavailableException;
import org.hickorycleat.model.identifier.ProcessId;
import org.hickorycleat.model.message.RelayedStoreRequest;
import org.hickorycleat.model.message.RelayedStoreResponse;
import org.hickorycleat.model.store.AppendOutcome;
import org.hickorycleat.model.store.StoreAppendRequest;
import org.hickorycleat.model.store.StorePage;
import org.hickorycleat.model.store.StoreReadRequest;
import org.hickorycleat.model.store.StoreRecord;
import org.hickorycleat.platform.HttpRecordStore;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

class TopicConsumerTest {
    private static final String TOPIC = "keyed.jobs";
    private static final int STORE_TIMEOUT_MS = 600;
    private static final int STORE_REPEAT_MS = 300;
    private static final long SLOW_LINK_BYTES_PER_SECOND = 1_250_000;
    private static final int PART_RECORDS = 10;
    private static final int LOG_RECORDS = 95;

    private final EventLoopGroup mEventLoops =
            new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());

    @AfterEach
    void close() {
        mEventLoops.shutdownGracefully(0, 1, TimeUnit.SECONDS).syncUninterruptibly();
    }

    /** Guards against a topic that never loads because a page takes longer than the timeout. */
    @Test
    void loadsLargeTopicOverSlowLink() throws Exception {
        StoreStandIn store = new StoreStandIn();
        for (int i = 0; i < 400; i++) {
            store.put(TOPIC, "key-" + i, "x".repeat(2_500));
        }
        InetSocketAddress address =
                new InetSocketAddress(InetAddress.getLoopbackAddress(), FreePorts.next());
        new NettyHttpServer(mEventLoops).listen(address, store);
        try (FaultyProxy proxy = new FaultyProxy(address)) {
            proxy.setBytesPerSecond(SLOW_LINK_BYTES_PER_SECOND);
            List<StoreRecord> records = new CopyOnWriteArrayList<>();
            TopicConsumer consumer =
                    new TopicConsumer(
                            new HttpRecordStore(
                                    new NettyHttpClient(mEventLoops),
                                    proxy.address(),
                                    STORE_TIMEOUT_MS,
                                    STORE_REPEAT_MS),
                            TOPIC,
                            records::add,
                            Schedulers.computation(),
                            100,
                            100);
            consumer.start();

            Awaitility.await().atMost(6, TimeUnit.SECONDS).until(consumer::isLoaded);
            assertThat(records).hasSize(400);
        }
    }

    /** Returns parts of the log and of the newest records, as a peer does. */
    private static final class PartialStore implements RecordStore {
        private int mReads;

        @Override
        public Single<AppendOutcome> append(StoreAppendRequest request, List<StoreRecord> records) {
            return Single.never();
        }

        @Override
        public Single<StorePage> read(StoreReadRequest request) {
            mReads++;
            if (request.newest()) {
                return Single.just(new StorePage(List.of(), 0, false, false));
            }
            List<StoreRecord> records = new ArrayList<>();
            long end = Math.min(LOG_RECORDS, request.fromOffset() + PART_RECORDS);
            for (long offset = request.fromOffset(); offset < end; offset++) {
                records.add(new StoreRecord(offset, "key-" + offset, new byte[] {1}));
            }
            return Single.just(new StorePage(records, LOG_RECORDS, false, false));
        }
    }

    /** Guards against a poll delay after each part of a page while further records are stored. */
    @Test
    void readsPartsOfLogWithoutDelay() {
        TestScheduler scheduler = new TestScheduler();
        PartialStore store = new PartialStore();
        List<StoreRecord> records = new ArrayList<>();
        TopicConsumer consumer =
                new TopicConsumer(store, TOPIC, records::add, scheduler, 1_000, 500);
        consumer.start();
        scheduler.advanceTimeBy(100, TimeUnit.MILLISECONDS);

        assertThat(records).hasSize(LOG_RECORDS);
        assertThat(store.mReads).isEqualTo(1 + (LOG_RECORDS + PART_RECORDS - 1) / PART_RECORDS);
    }

    @Test
    void catchesUpOverPartsOfLog() {
        List<StoreRecord> records = new ArrayList<>();
        TopicConsumer consumer =
                new TopicConsumer(
                        new PartialStore(), TOPIC, records::add, new TestScheduler(), 1_000, 500);
        consumer.start();

        consumer.catchUp().test().assertValue((long) LOG_RECORDS);
        assertThat(records).hasSize(LOG_RECORDS);
    }

    /** Responds to reads of the log with empty pages, after a time; then never again. */
    private static final class EmptyStore implements RecordStore {
        private static final int MAXIMUM_READS = 1_000;

        private final List<StoreReadRequest> mReads = new ArrayList<>();
        private final TestScheduler mScheduler;
        private final long mResponseTimeMs;

        EmptyStore(TestScheduler scheduler, long responseTimeMs) {
            mScheduler = scheduler;
            mResponseTimeMs = responseTimeMs;
        }

        @Override
        public Single<AppendOutcome> append(StoreAppendRequest request, List<StoreRecord> records) {
            return Single.never();
        }

        @Override
        public Single<StorePage> read(StoreReadRequest request) {
            StorePage page = new StorePage(List.of(), 0, false, false);
            if (request.newest()) {
                return Single.just(page);
            }
            mReads.add(request);
            if (mReads.size() > MAXIMUM_READS) {
                return Single.never();
            }
            return mResponseTimeMs == 0
                    ? Single.just(page)
                    : Single.just(page).delay(mResponseTimeMs, TimeUnit.MILLISECONDS, mScheduler);
        }
    }

    private static void startWithoutPollDelay(RecordStore store, TestScheduler scheduler) {
        new TopicConsumer(store, TOPIC, record -> {}, scheduler, 1_000, 0).start();
    }

    /** Guards against reads without a pause while the store answers long polls at once. */
    @Test
    void pausesWhenStoreAnswersLongPollAtOnce() {
        TestScheduler scheduler = new TestScheduler();
        EmptyStore store = new EmptyStore(scheduler, 0);
        startWithoutPollDelay(store, scheduler);
        scheduler.advanceTimeBy(2_000, TimeUnit.MILLISECONDS);

        assertThat(store.mReads).hasSizeBetween(4, 9);
    }

    /** Guards against reads without a pause through a peer, which does not wait for records. */
    @Test
    void pausesWhenPeerAnswersWithoutLongPoll() {
        TestScheduler scheduler = new TestScheduler();
        EmptyStore peerStore = new EmptyStore(scheduler, 1);
        RecordStore rejectingStore =
                new RecordStore() {
                    @Override
                    public Single<AppendOutcome> append(
                            StoreAppendRequest request, List<StoreRecord> records) {
                        return Single.never();
                    }

                    @Override
                    public Single<StorePage> read(StoreReadRequest request) {
                        return Single.error(new StoreUnavailableException("rejected"));
                    }
                };
        List<RelayingRecordStore> stores = new ArrayList<>();
        stores.add(
                new RelayingRecordStore(
                        rejectingStore,
                        (peer, message) -> {
                            RelayedStoreRequest request = (RelayedStoreRequest) message;
                            SingleCallbacks.subscribe(
                                    peerStore.read(request.read().orElseThrow()),
                                    page ->
                                            scheduler.scheduleDirect(
                                                    () -> respond(stores.get(0), request, page)),
                                    error -> {});
                            return true;
                        },
                        () -> Optional.of(new ProcessId("entry-2")),
                        scheduler));
        startWithoutPollDelay(stores.get(0), scheduler);
        scheduler.advanceTimeBy(2_000, TimeUnit.MILLISECONDS);

        assertThat(peerStore.mReads).hasSizeBetween(4, 9);
    }

    private static void respond(
            RelayingRecordStore store, RelayedStoreRequest request, StorePage page) {
        store.onRelayedResponse(
                new RelayedStoreResponse(request.number(), Optional.empty(), Optional.of(page)));
    }

    @Test
    void readsAgainAtOnceAfterWholeLongPoll() {
        TestScheduler scheduler = new TestScheduler();
        EmptyStore store = new EmptyStore(scheduler, 1_000);
        startWithoutPollDelay(store, scheduler);
        scheduler.advanceTimeBy(10_500, TimeUnit.MILLISECONDS);

        assertThat(store.mReads).hasSize(11);
    }
}
