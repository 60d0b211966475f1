package org.hickorycleat.logic.ownership;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.hickorycleat.logic.port.LogPage;
import org.hickorycleat.logic.port.LogRecord;

/** Log in memory that can lose answers, be down, and drop what a snapshot covers. */
final class FakeLog {
    static final int LIMIT = 50;

    private final List<LogRecord> mRecords = new ArrayList<>();
    private final ShardRecordCodec mCodec = new ShardRecordCodec();
    private long mFirstOffset;
    boolean mDown;
    boolean mLosesAnswers;
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
        int end = (int) Math.min(mRecords.size(), from + LIMIT);
        return new LogPage(mFirstOffset, end, mRecords.subList((int) from, end));
    }

    /** Drops every record that the latest snapshot makes unnecessary. */
    void expire() {
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

    /** Replays what is still kept. */
    ShardReplay replayKept() {
        ShardReplay replay = new ShardReplay();
        replay.restart(mFirstOffset);
        replay.accept(mRecords.subList((int) mFirstOffset, mRecords.size()));
        return replay;
    }
}
