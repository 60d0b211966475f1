package org.hickorycleat.logic.ownership;

import java.util.List;
import java.util.function.Consumer;
import org.hickorycleat.model.identifier.Epoch;
import org.hickorycleat.model.identifier.StreamName;

/** Appends the claims, renewals, batches and snapshots of this process when they are due. */
final class RecordAppender {
    private final StreamName mStream;
    private final OwnerIdentity mSelf;
    private final OwnerSettings mSettings;
    private final Consumer<OwnerAction> mActions;
    private final ShardRecordCodec mCodec = new ShardRecordCodec();
    private final BatchWriter mBatches;
    private Epoch mEpoch = new Epoch(-1);
    private long mToken;
    private long mBatchToken = -1;
    private long mClaimSentMs = Long.MIN_VALUE / 2;
    private long mRenewalSentMs = Long.MIN_VALUE / 2;
    private long mSnapshotSentMs = Long.MIN_VALUE / 2;
    private boolean mRenewalOutstanding;

    RecordAppender(
            StreamName stream,
            OwnerIdentity self,
            OwnerSettings settings,
            Consumer<OwnerAction> actions) {
        mStream = stream;
        mSelf = self;
        mSettings = settings;
        mActions = actions;
        mBatches = new BatchWriter(settings);
    }

    BatchWriter batches() {
        return mBatches;
    }

    void startEpoch(Epoch epoch, long lastSequence) {
        mEpoch = epoch;
        mBatches.reset(lastSequence);
        mRenewalOutstanding = false;
    }

    void onAppendFailed(long token, long nowMs) {
        if (token == mBatchToken) {
            mBatches.onAppendFailed(nowMs);
        }
    }

    void onRenewalReadBack() {
        mRenewalOutstanding = false;
    }

    void appendClaim(Epoch replaced, long nowMs) {
        if (nowMs - mClaimSentMs < mSettings.appendTimeoutMs()) {
            return;
        }
        mClaimSentMs = nowMs;
        append(new ShardRecord.Claim(mSelf, replaced));
    }

    /**
     * Appends a renewal if it is due. Only one is outstanding at a time, so that an outage of the
     * log queues no more than one.
     */
    void renewIfDue(long nowMs) {
        long intervalMs =
                mRenewalOutstanding ? mSettings.appendTimeoutMs() : mSettings.renewalIntervalMs();
        if (nowMs - mRenewalSentMs < intervalMs) {
            return;
        }
        mRenewalSentMs = nowMs;
        mRenewalOutstanding = true;
        append(new ShardRecord.Renewal(mEpoch, mSelf));
    }

    void appendBatch(List<ShardDecision> decisions, long nowMs) {
        append(mBatches.write(mEpoch, mSelf, decisions, nowMs));
        mBatchToken = mToken;
    }

    void retryBatchIfDue(LogFreshness log, long nowMs) {
        mBatches.batchToRetry(log, nowMs)
                .ifPresent(
                        batch -> {
                            append(batch);
                            mBatchToken = mToken;
                        });
    }

    void appendSnapshotIfDue(ShardReplay replay, long nowMs) {
        boolean due =
                replay.decisionsSinceSnapshot() >= mSettings.snapshotIntervalDecisions()
                        || replay.snapshotAgeMs() >= mSettings.retentionMs() / 2;
        if (!due || nowMs - mSnapshotSentMs < mSettings.appendTimeoutMs()) {
            return;
        }
        mSnapshotSentMs = nowMs;
        append(new ShardRecord.Snapshot(replay.nextOffset() - 1, replay.snapshot()));
    }

    private void append(ShardRecord content) {
        mToken++;
        mActions.accept(new OwnerAction.AppendRecord(mStream, mToken, mCodec.encode(content)));
    }
}
