package org.hickorycleat.daemon.fleet;

import io.reactivex.rxjava3.core.Scheduler;
import io.reactivex.rxjava3.core.Single;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.hickorycleat.daemon.logging.EventLog;
import org.hickorycleat.logic.port.RecordStore;
import org.hickorycleat.logic.port.SingleCallbacks;
import org.hickorycleat.model.store.StorePage;
import org.hickorycleat.model.store.StoreReadRequest;
import org.hickorycleat.model.store.StoreRecord;

/** Reads the newest record of each key of a topic, then every further record. */
final class TopicConsumer {
    private static final EventLog LOG = EventLog.of(TopicConsumer.class);

    /** Delay before a failed read is retried, in milliseconds. */
    private static final long RETRY_DELAY_MS = 200;

    /**
     * Minimum time between the starts of two reads if the first one returned an empty page before
     * the end of its long poll, in milliseconds; a peer does not wait for records.
     */
    private static final long EMPTY_READ_INTERVAL_MS = 250;

    /**
     * Listens to reads of the newest record of each key, at the start and after the store has
     * deleted records that were not read yet. Removals of keys may be among these.
     */
    interface LoadListener {
        /** Handles the start of a read. */
        void onLoadStarted();

        /**
         * Handles the end of a read.
         *
         * @param startOffset end offset of the topic when the read started
         */
        void onLoadEnded(long startOffset);
    }

    private final RecordStore mStore;
    private final String mTopic;
    private final Consumer<StoreRecord> mSink;
    private final Scheduler mScheduler;
    private final int mLongPollMs;
    private final long mPollDelayMs;
    private boolean mLoaded;
    private boolean mFailing;
    private long mNextOffset;
    private long mEndOffset;
    private long mReadAtMs = Long.MIN_VALUE / 2;
    private Optional<LoadListener> mLoadListener = Optional.empty();

    /**
     * Creates a consumer.
     *
     * @param longPollMs maximum wait of a long poll, in milliseconds
     * @param pollDelayMs delay between two reads, in milliseconds
     */
    TopicConsumer(
            RecordStore store,
            String topic,
            Consumer<StoreRecord> sink,
            Scheduler scheduler,
            int longPollMs,
            long pollDelayMs) {
        mStore = store;
        mTopic = topic;
        mSink = sink;
        mScheduler = scheduler;
        mLongPollMs = longPollMs;
        mPollDelayMs = pollDelayMs;
    }

    /** Starts reading as {@link #start()}, with a listener. */
    void start(LoadListener listener) {
        mLoadListener = Optional.of(listener);
        start();
    }

    /** Starts reading, from the newest record of each key. */
    void start() {
        load("", -1);
    }

    /** Returns whether all records that were stored at the start have been read. */
    synchronized boolean isLoaded() {
        return mLoaded;
    }

    /** Returns the end offset of the topic at the last read. */
    synchronized long endOffset() {
        return mEndOffset;
    }

    /** Returns the time of the last read by the clock of the scheduler, in milliseconds. */
    synchronized long readAtMs() {
        return mReadAtMs;
    }

    /**
     * Reads up to the end of the topic and returns its offset; fails if the store does not respond.
     */
    Single<Long> catchUp() {
        if (!isLoaded()) {
            return Single.error(new IllegalStateException("topic is not loaded yet"));
        }
        return mStore.read(StoreReadRequest.log(mTopic, 0, nextOffset(), 0))
                .flatMap(
                        page -> {
                            if (page.truncated()) {
                                return Single.error(new IllegalStateException("truncated"));
                            }
                            accept(page);
                            return isLast(page) ? Single.just(page.endOffset()) : catchUp();
                        });
    }

    /** Reads up to the end of the topic as {@link #catchUp()}; fails after the timeout. */
    Single<Long> catchUp(long timeoutMs) {
        return catchUp().timeout(timeoutMs, TimeUnit.MILLISECONDS, mScheduler);
    }

    private synchronized long nextOffset() {
        return mNextOffset;
    }

    private void load(String afterKey, long firstEndOffset) {
        long startMs = mScheduler.now(TimeUnit.MILLISECONDS);
        if (firstEndOffset < 0) {
            mLoadListener.ifPresent(LoadListener::onLoadStarted);
        }
        SingleCallbacks.subscribe(
                mStore.read(StoreReadRequest.newest(mTopic, 0, afterKey)),
                page -> onNewest(page, firstEndOffset, startMs),
                error -> retry(error, () -> load(afterKey, firstEndOffset)));
    }

    private void onNewest(StorePage page, long firstEndOffset, long startMs) {
        onReadSucceeded();
        LOG.event("topic_page")
                .with("topic", mTopic)
                .with("records", page.records().size())
                .with(
                        "bytes",
                        page.records().stream().mapToLong(record -> record.value().length).sum())
                .with("duration_ms", mScheduler.now(TimeUnit.MILLISECONDS) - startMs)
                .info();
        page.records().forEach(this::deliver);
        long start = firstEndOffset < 0 ? page.endOffset() : firstEndOffset;
        if (page.hasMore() && !page.records().isEmpty()) {
            load(page.records().get(page.records().size() - 1).key(), start);
            return;
        }
        synchronized (this) {
            mLoaded = true;
            mNextOffset = start;
            mEndOffset = Math.max(mEndOffset, page.endOffset());
            mReadAtMs = mScheduler.now(TimeUnit.MILLISECONDS);
        }
        LOG.event("topic_loaded").with("topic", mTopic).with("offset", start).info();
        mLoadListener.ifPresent(
                listener -> GuardedTask.run(mTopic, () -> listener.onLoadEnded(start)));
        read();
    }

    private void read() {
        long startMs = mScheduler.now(TimeUnit.MILLISECONDS);
        SingleCallbacks.subscribe(
                mStore.read(
                        StoreReadRequest.log(mTopic, 0, nextOffset(), mFailing ? 0 : mLongPollMs)),
                page -> onPage(page, startMs),
                error -> retry(error, this::read));
    }

    private void onPage(StorePage page, long startMs) {
        onReadSucceeded();
        if (page.truncated()) {
            LOG.event("topic_truncated").with("topic", mTopic).with("offset", nextOffset()).info();
            load("", -1);
            return;
        }
        accept(page);
        mScheduler.scheduleDirect(this::read, delayAfter(page, startMs), TimeUnit.MILLISECONDS);
    }

    private long delayAfter(StorePage page, long startMs) {
        if (!isLast(page)) {
            return 0;
        }
        if (!page.records().isEmpty()) {
            return mPollDelayMs;
        }
        long elapsedMs = mScheduler.now(TimeUnit.MILLISECONDS) - startMs;
        long intervalMs = Math.min(mLongPollMs, EMPTY_READ_INTERVAL_MS);
        return Math.max(mPollDelayMs, intervalMs - elapsedMs);
    }

    // A page ends before the end of the log if the remaining records exceed its size.
    private boolean isLast(StorePage page) {
        return page.records().isEmpty() || nextOffset() >= page.endOffset();
    }

    private void accept(StorePage page) {
        for (StoreRecord record : page.records()) {
            synchronized (this) {
                if (record.offset() < mNextOffset) {
                    continue;
                }
                mNextOffset = record.offset() + 1;
            }
            deliver(record);
        }
        synchronized (this) {
            mEndOffset = Math.max(mEndOffset, page.endOffset());
            mReadAtMs = mScheduler.now(TimeUnit.MILLISECONDS);
        }
    }

    private void deliver(StoreRecord record) {
        GuardedTask.run(mTopic, () -> mSink.accept(record));
    }

    private void onReadSucceeded() {
        if (mFailing) {
            mFailing = false;
            LOG.event("topic_regained").with("topic", mTopic).info();
        }
    }

    private void retry(Throwable error, Runnable action) {
        if (!mFailing) {
            mFailing = true;
            LOG.event("topic_lost").with("topic", mTopic).with("cause", error).warn();
        }
        mScheduler.scheduleDirect(action, RETRY_DELAY_MS, TimeUnit.MILLISECONDS);
    }
}
