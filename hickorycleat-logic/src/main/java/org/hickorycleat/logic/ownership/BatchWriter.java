package org.hickorycleat.logic.ownership;

import java.util.List;
import java.util.Optional;
import org.hickorycleat.model.identifier.Epoch;

/**
 * Keeps at most one batch outstanding and retries it under the same sequence number until it is
 * read back.
 */
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

    boolean isReady(long nowMs) {
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
        recordSent(nowMs);
        return batch;
    }

    void onAppendFailed(long nowMs) {
        mFailedMs = Math.min(mFailedMs, nowMs);
    }

    /**
     * Returns the outstanding batch if its append must be retried: the append failed or timed out,
     * and the log has since been read to its end without it.
     */
    Optional<ShardRecord.DecisionBatch> batchToRetry(LogFreshness log, long nowMs) {
        long presumedLostMs = Math.min(mFailedMs, mSentMs + mSettings.appendTimeoutMs());
        boolean due =
                nowMs >= presumedLostMs
                        && log.isAtEnd(nowMs)
                        && log.currentAsOfMs() >= presumedLostMs;
        if (mOutstanding.isEmpty() || !due) {
            return Optional.empty();
        }
        recordSent(nowMs);
        return mOutstanding;
    }

    void onReadBack(long sequence) {
        if (mOutstanding.map(batch -> batch.sequence() == sequence).orElse(false)) {
            mOutstanding = Optional.empty();
        }
    }

    private void recordSent(long nowMs) {
        mSentMs = nowMs;
        mFailedMs = Long.MAX_VALUE;
    }
}
