package org.hickorycleat.standins.logservice;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.Iterator;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.function.LongSupplier;

/** One append-only stream in memory. */
final class LogStream {
    /** Bounds the size of one answer; a page holds at least one record. */
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

    /** Appends a record, wakes waiting readers and returns the offset. */
    long append(byte[] payload) {
        CompletableFuture<Void> wake;
        long offset;
        synchronized (this) {
            offset = mNextOffset++;
            mRecords.addLast(new StoredRecord(offset, mClockMs.getAsLong(), payload));
            dropExpired();
            wake = mNextAppend;
            mNextAppend = new CompletableFuture<>();
        }
        wake.complete(null);
        return offset;
    }

    synchronized StoredPage read(long from, int limit) {
        dropExpired();
        long first = mNextOffset - mRecords.size();
        if (from < first) {
            return new StoredPage(first, first, true, List.of());
        }
        List<StoredRecord> page = new ArrayList<>();
        long bytes = 0;
        Iterator<StoredRecord> records = mRecords.iterator();
        while (records.hasNext() && page.size() < limit && bytes < MAXIMUM_PAGE_BYTES) {
            StoredRecord record = records.next();
            if (record.offset() >= from) {
                page.add(record);
                bytes += record.payload().length;
            }
        }
        long next = page.isEmpty() ? Math.min(from, mNextOffset) : from + page.size();
        return new StoredPage(first, next, false, page);
    }

    /** Returns a future that completes at the first append after an offset was the next one. */
    synchronized CompletableFuture<Void> appendAfter(long nextOffset) {
        return mNextOffset > nextOffset ? CompletableFuture.completedFuture(null) : mNextAppend;
    }

    private void dropExpired() {
        long now = mClockMs.getAsLong();
        while (!mRecords.isEmpty()
                && (mRecords.size() > mRetention.maximumRecords()
                        || now - mRecords.getFirst().timestampMs() > mRetention.maximumAgeMs())) {
            mRecords.removeFirst();
        }
    }
}
