package org.hickorycleat.daemon.fleet;

import io.reactivex.rxjava3.core.Scheduler;
import io.reactivex.rxjava3.core.Single;
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

    /** Pause after a read that failed, in milliseconds. */
    private static final long RETRY_MS = 200;

    private final RecordStore mStore;
    private final String mTopic;
    private final Consumer<StoreRecord> mSink;
    private final Scheduler mScheduler;
    private final int mWaitMs;
    private final long mPauseMs;
    private boolean mLoaded;
    private boolean mFailing;
    private long mNextOffset;
    private long mEndOffset;
    private long mReadAtMs = Long.MIN_VALUE / 2;

    /**
     * Creates a follower.
     *
     * @param waitMs how long the store may hold a read, in milliseconds
     * @param pauseMs pause between two reads, in milliseconds
     */
    TopicConsumer(
            RecordStore store,
            String topic,
            Consumer<StoreRecord> sink,
            Scheduler scheduler,
            int waitMs,
            long pauseMs) {
        mStore = store;
        mTopic = topic;
        mSink = sink;
        mScheduler = scheduler;
        mWaitMs = waitMs;
        mPauseMs = pauseMs;
    }

    /** Starts to read. */
    void start() {
        load("", -1);
    }

    /** Tells whether everything that was stored at the start has been read. */
    synchronized boolean isLoaded() {
        return mLoaded;
    }

    /** Returns the end of the topic at the last read. */
    synchronized long endOffset() {
        return mEndOffset;
    }

    /** Returns when the end was last reached, on the clock of the scheduler. */
    synchronized long readAtMs() {
        return mReadAtMs;
    }

    /** Reads on to the end of the topic; fails when the store gives no answer. */
    Single<Long> catchUp() {
        if (!isLoaded()) {
            return Single.error(new IllegalStateException("not loaded yet"));
        }
        return mStore.read(StoreReadRequest.log(mTopic, 0, nextOffset(), 0))
                .flatMap(
                        page -> {
                            if (page.truncated()) {
                                return Single.error(new IllegalStateException("truncated"));
                            }
                            accept(page);
                            return page.records().isEmpty() || nextOffset() >= page.endOffset()
                                    ? Single.just(page.endOffset())
                                    : catchUp();
                        });
    }

    private synchronized long nextOffset() {
        return mNextOffset;
    }

    private void load(String afterKey, long firstEndOffset) {
        SingleCallbacks.subscribe(
                mStore.read(StoreReadRequest.newest(mTopic, 0, afterKey)),
                page -> onNewest(page, firstEndOffset),
                error -> retry(error, () -> load(afterKey, firstEndOffset)));
    }

    private void onNewest(StorePage page, long firstEndOffset) {
        onRead();
        page.records().forEach(mSink);
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
        read();
    }

    private void read() {
        SingleCallbacks.subscribe(
                mStore.read(StoreReadRequest.log(mTopic, 0, nextOffset(), mFailing ? 0 : mWaitMs)),
                this::onPage,
                error -> retry(error, this::read));
    }

    private void onPage(StorePage page) {
        onRead();
        if (page.truncated()) {
            LOG.event("topic_truncated").with("topic", mTopic).with("offset", nextOffset()).info();
            load("", -1);
            return;
        }
        accept(page);
        mScheduler.scheduleDirect(this::read, mPauseMs, TimeUnit.MILLISECONDS);
    }

    private void accept(StorePage page) {
        for (StoreRecord record : page.records()) {
            synchronized (this) {
                if (record.offset() < mNextOffset) {
                    continue;
                }
                mNextOffset = record.offset() + 1;
            }
            mSink.accept(record);
        }
        synchronized (this) {
            mEndOffset = Math.max(mEndOffset, page.endOffset());
            mReadAtMs = mScheduler.now(TimeUnit.MILLISECONDS);
        }
    }

    private void onRead() {
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
        mScheduler.scheduleDirect(action, RETRY_MS, TimeUnit.MILLISECONDS);
    }
}
