package org.hickorycleat.logic.ownership;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.hickorycleat.logic.port.LogRecord;
import org.hickorycleat.model.identifier.ConfigurationVersion;
import org.hickorycleat.model.identifier.Epoch;

/**
 * Replays the records of a shard; its state depends only on the log, so every reader derives the
 * same state.
 */
public final class ShardReplay {
    private final ShardRecordCodec mCodec = new ShardRecordCodec();
    private final List<LogRecord> mBuffered = new ArrayList<>();
    private ShardState mState = new ShardState();
    private Epoch mEpoch = new Epoch(-1);
    private Optional<OwnerIdentity> mOwner = Optional.empty();
    private long mLastSequence;
    private long mNextOffset;
    private boolean mStateKnown = true;
    private long mMalformedRecords;
    private long mIneffectiveDecisions;
    private long mDecisionsSinceSnapshot;
    private long mSnapshotTimestampMs = -1;
    private long mLastTimestampMs;

    /**
     * Returns whether the state is known, because replay began at the start of the stream or at a
     * snapshot.
     */
    public boolean isStateKnown() {
        return mStateKnown;
    }

    /** Returns the offset to read from next. */
    public long nextOffset() {
        return mNextOffset;
    }

    /** Returns the offset of the latest valid claim, -1 for none. */
    public Epoch epoch() {
        return mEpoch;
    }

    /** Returns the writer of the latest valid claim. */
    public Optional<OwnerIdentity> owner() {
        return mOwner;
    }

    /** Returns the state of the tasks. */
    public ShardState state() {
        return mState;
    }

    /** Returns the number of records that could not be decoded. */
    public long malformedRecords() {
        return mMalformedRecords;
    }

    /** Returns the number of decisions in valid batches that did not apply to the state. */
    public long ineffectiveDecisions() {
        return mIneffectiveDecisions;
    }

    /** Returns the number of decisions since the last snapshot. */
    public long decisionsSinceSnapshot() {
        return mDecisionsSinceSnapshot;
    }

    /**
     * Returns the time in milliseconds, by the clock of the log, between the last snapshot and the
     * last record.
     */
    public long snapshotAgeMs() {
        return mSnapshotTimestampMs < 0 ? 0 : mLastTimestampMs - mSnapshotTimestampMs;
    }

    /** Restarts the replay at the first offset that the log still retains. */
    public void restart(long firstOffset) {
        mBuffered.clear();
        mNextOffset = firstOffset;
        mStateKnown = firstOffset == 0;
        reset(
                new ShardSnapshot(
                        new Epoch(-1),
                        Optional.empty(),
                        0,
                        new ConfigurationVersion(-1),
                        List.of(),
                        List.of(),
                        List.of()));
    }

    /**
     * Applies records in order and returns the result of each; records are buffered until the state
     * is known.
     */
    public List<ReplayStep> accept(List<LogRecord> records) {
        List<ReplayStep> steps = new ArrayList<>();
        for (LogRecord record : records) {
            if (record.offset() < mNextOffset) {
                continue;
            }
            if (record.offset() > mNextOffset) {
                restart(record.offset());
            }
            mNextOffset = record.offset() + 1;
            if (mStateKnown) {
                apply(record).ifPresent(steps::add);
            } else {
                bufferUntilSnapshot(record, steps);
            }
        }
        return steps;
    }

    /** Returns the state as of the last record. */
    public ShardSnapshot snapshot() {
        return new ShardSnapshot(
                mEpoch,
                mOwner,
                mLastSequence,
                mState.manifestVersion(),
                List.copyOf(mState.tasks()),
                mState.ended(),
                mState.generations());
    }

    /**
     * Buffers records until a snapshot covers everything that precedes the buffer. A snapshot with
     * an older offset would hide claims that the log no longer retains.
     */
    private void bufferUntilSnapshot(LogRecord record, List<ReplayStep> steps) {
        mBuffered.add(record);
        Optional<ShardRecord> decoded = mCodec.decode(record.payload());
        if (decoded.isEmpty() || !(decoded.get() instanceof ShardRecord.Snapshot snapshot)) {
            return;
        }
        if (snapshot.throughOffset() + 1 < mBuffered.get(0).offset()) {
            return;
        }
        reset(snapshot.content());
        mStateKnown = true;
        for (LogRecord buffered : mBuffered) {
            if (buffered.offset() > snapshot.throughOffset()) {
                apply(buffered).ifPresent(steps::add);
            }
        }
        mBuffered.clear();
    }

    private void reset(ShardSnapshot snapshot) {
        mState = new ShardState(snapshot);
        mEpoch = snapshot.epoch();
        mOwner = snapshot.owner();
        mLastSequence = snapshot.lastSequence();
        mDecisionsSinceSnapshot = 0;
        mSnapshotTimestampMs = -1;
    }

    private Optional<ReplayStep> apply(LogRecord record) {
        mLastTimestampMs = Math.max(mLastTimestampMs, record.timestampMs());
        if (mSnapshotTimestampMs < 0) {
            mSnapshotTimestampMs = record.timestampMs();
        }
        Optional<ShardRecord> decoded = mCodec.decode(record.payload());
        if (decoded.isEmpty()) {
            mMalformedRecords++;
            return Optional.empty();
        }
        ShardRecord content = decoded.get();
        return Optional.of(new ReplayStep(record.offset(), apply(record, content), content));
    }

    private ReplayStep.Result apply(LogRecord record, ShardRecord content) {
        if (content instanceof ShardRecord.Claim claim) {
            return claim(record.offset(), claim);
        }
        if (content instanceof ShardRecord.Renewal renewal) {
            return isCurrent(renewal.epoch(), renewal.owner())
                    ? ReplayStep.Result.APPLIED
                    : ReplayStep.Result.INVALID;
        }
        if (content instanceof ShardRecord.DecisionBatch batch) {
            return batch(batch);
        }
        mDecisionsSinceSnapshot = 0;
        mSnapshotTimestampMs = record.timestampMs();
        return ReplayStep.Result.APPLIED;
    }

    private ReplayStep.Result claim(long offset, ShardRecord.Claim claim) {
        if (!claim.replaced().equals(mEpoch)) {
            return ReplayStep.Result.INVALID;
        }
        mEpoch = new Epoch(offset);
        mOwner = Optional.of(claim.owner());
        mLastSequence = 0;
        return ReplayStep.Result.APPLIED;
    }

    private ReplayStep.Result batch(ShardRecord.DecisionBatch batch) {
        if (!isCurrent(batch.epoch(), batch.owner())) {
            return ReplayStep.Result.INVALID;
        }
        if (batch.sequence() <= mLastSequence) {
            return ReplayStep.Result.DUPLICATE;
        }
        mLastSequence = batch.sequence();
        for (ShardDecision decision : batch.decisions()) {
            if (!mState.apply(decision)) {
                mIneffectiveDecisions++;
            }
        }
        mDecisionsSinceSnapshot += batch.decisions().size();
        return ReplayStep.Result.APPLIED;
    }

    private boolean isCurrent(Epoch epoch, OwnerIdentity owner) {
        return epoch.equals(mEpoch) && mOwner.equals(Optional.of(owner));
    }
}
