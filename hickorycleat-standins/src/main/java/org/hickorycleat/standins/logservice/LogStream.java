package org.hickorycleat.standins.logservice;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.Iterator;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.function.LongSupplier;

/** An append-only stream in memory. */
final class LogStream {
    /** Bounds the size of a response; a page holds at least one record. */
    private static final int MAXIMUM_PAGE_BYTES = 4 << 20;

    private final LogRetention mRetention;
    private final LongSupplier mClockMs;
    private final Deque<StoredRecord> mRecords = new ArrayDeque<>();
    private long mNextOffset;
    private CompletableFuture<Void> mNextAppend = new CompletableFuture<>();

    LogStream(LogRetention retention, LongSupplier clockMs) {
        mRetention = retention;
        mClockMs = clockMs;
    }

    /** Appends a record, wakes up waiting readers and returns the offset of the record. */
    long append(byte[] payload) {
        CompletableFuture<Void> appended;
        long offset;
        synchronized (this) {
            offset = mNextOffset++;
            mRecords.addLast(new StoredRecord(offset, mClockMs.getAsLong(), payload));
            removeExpired();
            appended = mNextAppend;
            mNextAppend = new CompletableFuture<>();
        }
        appended.complete(null);
        return offset;
    }

    synchronized StoredPage read(long from, int limit) {
        removeExpired();
        long firstOffset = mNextOffset - mRecords.size();
        if (from < firstOffset) {
            return new StoredPage(firstOffset, firstOffset, true, List.of());
        }
        List<StoredRecord> page = new ArrayList<>();
        long pageBytes = 0;
        Iterator<StoredRecord> records = mRecords.iterator();
        while (records.hasNext() && page.size() < limit && pageBytes < MAXIMUM_PAGE_BYTES) {
            StoredRecord record = records.next();
            if (record.offset() >= from) {
                page.add(record);
                pageBytes += record.payload().length;
            }
        }
        long nextOffset = page.isEmpty() ? Math.min(from, mNextOffset) : from + page.size();
        return new StoredPage(firstOffset, nextOffset, false, page);
    }

    /**
     * Returns a future that completes at the next append, or has completed if the offset exists.
     */
    synchronized CompletableFuture<Void> appendAfter(long nextOffset) {
        return mNextOffset > nextOffset ? CompletableFuture.completedFuture(null) : mNextAppend;
    }

    private void removeExpired() {
        long nowMs = mClockMs.getAsLong();
        while (!mRecords.isEmpty()
                && (mRecords.size() > mRetention.maximumRecords()
                        || nowMs - mRecords.getFirst().timestampMs() > mRetention.maximumAgeMs())) {
            mRecords.removeFirst();
        }
    }
}
