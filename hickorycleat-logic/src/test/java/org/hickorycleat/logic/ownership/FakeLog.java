package org.hickorycleat.logic.ownership;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.hickorycleat.logic.port.LogPage;
import org.hickorycleat.logic.port.LogRecord;

/**
 * In-memory log that can lose responses, be down, and truncate the records that a snapshot covers.
 */
final class FakeLog {
    static final int PAGE_LIMIT_RECORDS = 50;

    private final List<LogRecord> mRecords = new ArrayList<>();
    private final ShardRecordCodec mCodec = new ShardRecordCodec();
    private long mFirstOffset;
    boolean mDown;
    boolean mLosesResponses;
    boolean mSlow;

    long append(byte[] payload, long nowMs) {
        long offset = mRecords.size();
        mRecords.add(new LogRecord(offset, nowMs, payload));
        return offset;
    }

    boolean isTruncatedAt(long offset) {
        return offset < mFirstOffset;
    }

    long firstOffset() {
        return mFirstOffset;
    }

    LogPage read(long from) {
        int end = (int) Math.min(mRecords.size(), from + PAGE_LIMIT_RECORDS);
        return new LogPage(mFirstOffset, end, mRecords.subList((int) from, end));
    }

    /** Truncates every record that the latest snapshot covers. */
    void truncateToSnapshot() {
        for (int index = mRecords.size() - 1; index >= 0; index--) {
            Optional<ShardRecord> record = mCodec.decode(mRecords.get(index).payload());
            if (record.isPresent() && record.get() instanceof ShardRecord.Snapshot snapshot) {
                mFirstOffset = Math.max(mFirstOffset, snapshot.throughOffset() + 1);
                return;
            }
        }
    }

    /** Replays every record that was ever appended. */
    ShardReplay replay() {
        ShardReplay replay = new ShardReplay();
        replay.accept(mRecords);
        return replay;
    }

    /** Replays the records that are still retained. */
    ShardReplay replayRetained() {
        ShardReplay replay = new ShardReplay();
        replay.restart(mFirstOffset);
        replay.accept(mRecords.subList((int) mFirstOffset, mRecords.size()));
        return replay;
    }
}
