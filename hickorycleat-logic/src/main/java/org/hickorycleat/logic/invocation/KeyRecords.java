package org.hickorycleat.logic.invocation;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Supplier;
import java.util.stream.IntStream;
import org.hickorycleat.model.result.Outcome;
import org.hickorycleat.model.result.ResultCode;

/**
 * Records of idempotency keys, in shards with one lock each.
 *
 * <p>A record is kept for the retention time after its execution has ended. If there is no capacity
 * for another record, new keys are rejected, because removing a record early could run its request
 * twice.
 */
final class KeyRecords {
    /** Result of claiming a key for a request. */
    sealed interface Claim {
        /** The request waits for the execution; {@code created} if the execution is new. */
        record Run(Execution execution, boolean created) implements Claim {}

        /** The request receives the response of an earlier copy. */
        record Replay(ExecutionResponse response) implements Claim {}

        /** The request is rejected and does not run. */
        record Rejected(ResultCode code) implements Claim {}
    }

    private sealed interface State {
        record Running(Execution execution) implements State {}

        record Ended(ExecutionResponse response, long endedMs) implements State {}
    }

    private record KeyRecord(RequestFingerprint fingerprint, State state) {}

    private static final long EXPIRY_INTERVAL_MS = 1_000;

    private final List<Shard> mShards;
    private final int mMaximumRecords;
    private final long mRetentionMs;
    private final RetainedBytes mRetained;
    private final AtomicInteger mCount = new AtomicInteger();

    KeyRecords(int shards, int maximumRecords, long retentionMs, RetainedBytes retained) {
        mMaximumRecords = maximumRecords;
        mRetentionMs = retentionMs;
        mRetained = retained;
        mShards = IntStream.range(0, shards).mapToObj(index -> new Shard()).toList();
    }

    /**
     * Returns the claim of an existing record of the key, or creates a record.
     *
     * @param rejection reason not to create a record; empty if one may be created
     */
    Claim claim(
            ScopedKey key,
            RequestFingerprint fingerprint,
            Optional<ResultCode> rejection,
            Supplier<Execution> execution,
            long nowMs) {
        return shardOf(key).claim(key, fingerprint, rejection, execution, nowMs);
    }

    /** Records the response of an execution; removes the record if the request did not run. */
    void end(ScopedKey key, Execution execution, ExecutionResponse response, long nowMs) {
        shardOf(key).end(key, execution, response, nowMs);
    }

    /** Removes the record of an execution that will never start. */
    void remove(ScopedKey key, Execution execution) {
        shardOf(key).remove(key, execution);
    }

    int count() {
        return mCount.get();
    }

    private Shard shardOf(ScopedKey key) {
        return mShards.get(Math.floorMod(key.hashCode(), mShards.size()));
    }

    private final class Shard {
        private final Map<ScopedKey, KeyRecord> mRecords = new HashMap<>();
        private long mExpiryCheckedMs = Long.MIN_VALUE;

        synchronized Claim claim(
                ScopedKey key,
                RequestFingerprint fingerprint,
                Optional<ResultCode> rejection,
                Supplier<Execution> execution,
                long nowMs) {
            removeExpired(nowMs);
            KeyRecord record = mRecords.get(key);
            if (record == null || isRemovable(record, nowMs)) {
                return create(key, fingerprint, rejection, execution);
            }
            if (!record.fingerprint().equals(fingerprint)) {
                return new Claim.Rejected(ResultCode.IDEMPOTENCY_KEY_REUSED);
            }
            if (record.state() instanceof State.Running running) {
                return new Claim.Run(running.execution(), false);
            }
            return new Claim.Replay(((State.Ended) record.state()).response());
        }

        private Claim create(
                ScopedKey key,
                RequestFingerprint fingerprint,
                Optional<ResultCode> rejection,
                Supplier<Execution> supplier) {
            if (rejection.isPresent()) {
                return new Claim.Rejected(rejection.get());
            }
            boolean replaces = mRecords.containsKey(key);
            if (!replaces && !reserve()) {
                return new Claim.Rejected(ResultCode.OVERLOADED);
            }
            Execution execution = supplier.get();
            KeyRecord previous =
                    mRecords.put(key, new KeyRecord(fingerprint, new State.Running(execution)));
            if (previous != null) {
                mRetained.subtract(bytesOf(previous));
            }
            return new Claim.Run(execution, true);
        }

        private boolean reserve() {
            if (!mRetained.hasCapacityFor(ExecutionResponse.MAXIMUM_BODY_BYTES)) {
                return false;
            }
            if (mCount.incrementAndGet() > mMaximumRecords) {
                mCount.decrementAndGet();
                return false;
            }
            return true;
        }

        private boolean isRemovable(KeyRecord record, long nowMs) {
            if (record.state() instanceof State.Running running) {
                return running.execution().isAbandoned();
            }
            return nowMs - ((State.Ended) record.state()).endedMs() >= mRetentionMs;
        }

        synchronized void end(
                ScopedKey key, Execution execution, ExecutionResponse response, long nowMs) {
            KeyRecord record = mRecords.get(key);
            if (record == null || !belongsTo(record, execution)) {
                return;
            }
            if (response.outcome() == Outcome.NOT_RUN) {
                removeRecord(key, record);
                return;
            }
            ExecutionResponse retained =
                    response.outcome() == Outcome.UNKNOWN
                            ? ExecutionResponse.of(ResultCode.OUTCOME_UNKNOWN)
                            : response;
            mRetained.add(retained.bytes());
            mRecords.put(
                    key, new KeyRecord(record.fingerprint(), new State.Ended(retained, nowMs)));
        }

        synchronized void remove(ScopedKey key, Execution execution) {
            KeyRecord record = mRecords.get(key);
            if (record != null && belongsTo(record, execution)) {
                removeRecord(key, record);
            }
        }

        private void removeExpired(long nowMs) {
            if (mExpiryCheckedMs != Long.MIN_VALUE
                    && nowMs - mExpiryCheckedMs < EXPIRY_INTERVAL_MS) {
                return;
            }
            mExpiryCheckedMs = nowMs;
            List<Map.Entry<ScopedKey, KeyRecord>> expired =
                    mRecords.entrySet().stream()
                            .filter(entry -> isRemovable(entry.getValue(), nowMs))
                            .toList();
            for (Map.Entry<ScopedKey, KeyRecord> entry : expired) {
                removeRecord(entry.getKey(), entry.getValue());
            }
        }

        private void removeRecord(ScopedKey key, KeyRecord record) {
            mRecords.remove(key);
            mCount.decrementAndGet();
            mRetained.subtract(bytesOf(record));
        }

        private static boolean belongsTo(KeyRecord record, Execution execution) {
            return record.state() instanceof State.Running running
                    && running.execution() == execution;
        }

        private static long bytesOf(KeyRecord record) {
            return record.state() instanceof State.Ended ended ? ended.response().bytes() : 0;
        }
    }
}
