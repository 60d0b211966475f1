package org.hickorycleat.daemon.fleet;

import static org.assertj.core.api.Assertions.assertThat;

import io.reactivex.rxjava3.core.Single;
import io.reactivex.rxjava3.plugins.RxJavaPlugins;
import io.reactivex.rxjava3.schedulers.TestScheduler;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.Queue;
import java.util.concurrent.TimeUnit;
import org.hickorycleat.logic.port.RecordStore;
import org.hickorycleat.model.store.AppendOutcome;
import org.hickorycleat.model.store.StoreAppendRequest;
import org.hickorycleat.model.store.StorePage;
import org.hickorycleat.model.store.StoreReadRequest;
import org.hickorycleat.model.store.StoreRecord;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

class TopicConsumerOddRecordTest implements RecordStore {
    private static final String ODD_KEY = "odd";

    private final TestScheduler mScheduler = new TestScheduler();
    private final Queue<StorePage> mPages = new ArrayDeque<>();
    private final List<String> mKeys = new ArrayList<>();
    private final TopicConsumer mConsumer =
            new TopicConsumer(this, "topic", this::onRecord, mScheduler, 1_000, 500);

    @BeforeEach
    void discardUndeliverableErrors() {
        RxJavaPlugins.setErrorHandler(error -> {});
    }

    @AfterEach
    void restoreErrorHandler() {
        RxJavaPlugins.reset();
    }

    @Override
    public Single<AppendOutcome> append(StoreAppendRequest request, List<StoreRecord> records) {
        return Single.never();
    }

    @Override
    public Single<StorePage> read(StoreReadRequest request) {
        return mPages.isEmpty() ? Single.never() : Single.just(mPages.remove());
    }

    private void onRecord(StoreRecord record) {
        if (record.key().equals(ODD_KEY)) {
            throw new IllegalArgumentException("odd record");
        }
        mKeys.add(record.key());
    }

    private static StorePage page(long firstOffset, String... keys) {
        List<StoreRecord> records = new ArrayList<>();
        for (String key : keys) {
            records.add(new StoreRecord(firstOffset + records.size(), key, new byte[] {1}));
        }
        return new StorePage(records, firstOffset + keys.length, false, false);
    }

    private void startAndAdvance() {
        try {
            mConsumer.start();
            mScheduler.advanceTimeBy(5, TimeUnit.SECONDS);
        } catch (RuntimeException e) {
            // What a failed task does to its thread is no matter of this test.
            mScheduler.advanceTimeBy(5, TimeUnit.SECONDS);
        }
    }

    /** Guards against a record that ends the reading of the topic at the start. */
    @Test
    void loadsOtherRecordsOfPageWithOddRecord() {
        mPages.add(page(0, "a", ODD_KEY, "b"));
        startAndAdvance();

        assertThat(mKeys).containsExactly("a", "b");
        assertThat(mConsumer.isLoaded()).isTrue();
    }

    /** Guards against a record that ends the reading of the topic later. */
    @Test
    void followsTopicAfterOddRecord() {
        mPages.add(page(0, "a"));
        mPages.add(page(1, ODD_KEY, "b"));
        mPages.add(page(3, "c"));
        startAndAdvance();

        assertThat(mKeys).containsExactly("a", "b", "c");
    }

    /** Guards against a claim that cannot settle because of another record. */
    @Test
    void catchesUpPastOddRecord() {
        mPages.add(page(0, "a"));
        startAndAdvance();
        mPages.add(page(1, ODD_KEY, "b"));

        mConsumer.catchUp().test().assertValue(3L);
        assertThat(mKeys).containsExactly("a", "b");
    }

    @Test
    void deliversRecordsInOrder() {
        mPages.add(page(0, "a", "b"));
        mPages.add(page(2, "c"));
        startAndAdvance();

        assertThat(mKeys).containsExactly("a", "b", "c");
    }
}
