package org.hickorycleat.logic.invocation;

import java.util.ArrayList;
import java.util.Iterator;
import java.util.List;
import java.util.Optional;
import java.util.TreeMap;
import org.hickorycleat.model.identifier.Incarnation;
import org.hickorycleat.model.identifier.SessionNumber;

/** Records of the requests of one incarnation of an entry in one shard; guarded by its lock. */
final class EntryRecords {
    private final Incarnation mIncarnation;
    private final TreeMap<Long, RequestRecord> mByCounter = new TreeMap<>();
    private Optional<SessionNumber> mSession = Optional.empty();
    private long mAcknowledgedBelow;
    private long mExpiryCheckedMs = Long.MIN_VALUE;

    EntryRecords(Incarnation incarnation) {
        mIncarnation = incarnation;
    }

    Incarnation incarnation() {
        return mIncarnation;
    }

    boolean isCurrent(SessionNumber session) {
        return mSession.isPresent() && mSession.get().equals(session);
    }

    boolean isNewer(SessionNumber session) {
        return mSession.isEmpty() || session.compareTo(mSession.get()) > 0;
    }

    void open(SessionNumber session) {
        mSession = Optional.of(session);
    }

    boolean isAcknowledged(long counter) {
        return counter < mAcknowledgedBelow;
    }

    Optional<RequestRecord> find(long counter) {
        return Optional.ofNullable(mByCounter.get(counter));
    }

    void put(long counter, RequestRecord record) {
        mByCounter.put(counter, record);
    }

    void remove(long counter) {
        mByCounter.remove(counter);
    }

    List<Waiter> waiters() {
        List<Waiter> waiters = new ArrayList<>();
        for (RequestRecord record : mByCounter.values()) {
            if (record instanceof RequestRecord.Waiting waiting) {
                waiters.add(waiting.waiter());
            }
        }
        return waiters;
    }

    /** Removes ended records below a counter and returns the bytes of their responses. */
    long acknowledge(long below) {
        if (below <= mAcknowledgedBelow) {
            return 0;
        }
        mAcknowledgedBelow = below;
        return removeEnded(mByCounter.headMap(below).values().iterator(), Long.MAX_VALUE - 1);
    }

    /** Removes expired records, at most once per interval; returns the bytes of their responses. */
    long removeExpired(long nowMs, long intervalMs) {
        if (mExpiryCheckedMs != Long.MIN_VALUE && nowMs - mExpiryCheckedMs < intervalMs) {
            return 0;
        }
        mExpiryCheckedMs = nowMs;
        return removeEnded(mByCounter.values().iterator(), nowMs);
    }

    long bytes() {
        return mByCounter.values().stream().mapToLong(EntryRecords::bytesOf).sum();
    }

    private static long removeEnded(Iterator<RequestRecord> records, long nowMs) {
        long bytes = 0;
        while (records.hasNext()) {
            RequestRecord record = records.next();
            if (record.expiryMs() <= nowMs) {
                bytes += bytesOf(record);
                records.remove();
            }
        }
        return bytes;
    }

    private static long bytesOf(RequestRecord record) {
        return record instanceof RequestRecord.Ended ended ? ended.response().bytes() : 0;
    }
}
