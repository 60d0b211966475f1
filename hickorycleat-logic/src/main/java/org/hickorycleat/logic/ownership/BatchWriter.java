package org.hickorycleat.logic.ownership;

import java.util.List;
import java.util.Optional;
import org.hickorycleat.model.identifier.Epoch;

/** Writes one batch at a time and repeats it under the same sequence until it is read back. */
final class BatchWriter {
    private final OwnerSettings mSettings;
    private Optional<ShardRecord.DecisionBatch> mOutstanding = Optional.empty();
    private long mLastSequence;
    private long mSentMs = Long.MIN_VALUE / 2;
    private long mFailedMs = Long.MAX_VALUE;

    BatchWriter(OwnerSettings settings) {
        mSettings = settings;
    }

    void reset(long lastSequence) {
        mOutstanding = Optional.empty();
        mLastSequence = lastSequence;
    }

    boolean ready(long nowMs) {
        return mOutstanding.isEmpty() && nowMs - mSentMs >= mSettings.batchIntervalMs();
    }

    Optional<ShardRecord.DecisionBatch> outstanding() {
        return mOutstanding;
    }

    ShardRecord.DecisionBatch write(
            Epoch epoch, OwnerIdentity self, List<ShardDecision> decisions, long nowMs) {
        mLastSequence++;
        ShardRecord.DecisionBatch batch =
                new ShardRecord.DecisionBatch(epoch, self, mLastSequence, decisions);
        mOutstanding = Optional.of(batch);
        sent(nowMs);
        return batch;
    }

    void failed(long nowMs) {
        mFailedMs = Math.min(mFailedMs, nowMs);
    }

    /** Returns the batch to append again: the log was read to its end and does not hold it. */
    Optional<ShardRecord.DecisionBatch> repeat(LogWatch log, long nowMs) {
        long lostMs = Math.min(mFailedMs, mSentMs + mSettings.appendTimeoutMs());
        boolean due = nowMs >= lostMs && log.atEnd(nowMs) && log.currentAsOfMs() >= lostMs;
        if (mOutstanding.isEmpty() || !due) {
            return Optional.empty();
        }
        sent(nowMs);
        return mOutstanding;
    }

    void readBack(long sequence) {
        if (mOutstanding.map(batch -> batch.sequence() == sequence).orElse(false)) {
            mOutstanding = Optional.empty();
        }
    }

    private void sent(long nowMs) {
        mSentMs = nowMs;
        mFailedMs = Long.MAX_VALUE;
    }
}
