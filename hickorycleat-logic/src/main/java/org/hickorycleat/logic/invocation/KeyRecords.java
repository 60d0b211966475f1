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
 * Records of idempotency keys, in shards under one lock each.
 *
 * <p>A record is kept until its retention after its end. When there is no room for another one, new
 * keys are refused: forgetting a record early could run its request twice.
 */
final class KeyRecords {
    /** What a request with a key is to do. */
    sealed interface Claim {
        /** Waits for the execution; {@code created} when the execution is a new one. */
        record Run(Execution execution, boolean created) implements Claim {}

        /** Takes the answer of an earlier copy. */
        record Replay(Answer answer) implements Claim {}

        /** Is refused and does not run. */
        record Refused(ResultCode code) implements Claim {}
    }

    private sealed interface State {
        record Running(Execution execution) implements State {}

        record Ended(Answer answer, long endedMs) implements State {}
    }

    private record KeyRecord(RequestFingerprint fingerprint, State state) {}

    private static final long SWEEP_INTERVAL_MS = 1_000;

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
     * Finds the record of a key or creates one.
     *
     * @param refusal reason not to create a record; empty when one may be created
     */
    Claim claim(
            KeyId key,
            RequestFingerprint fingerprint,
            Optional<ResultCode> refusal,
            Supplier<Execution> execution,
            long nowMs) {
        return shardOf(key).claim(key, fingerprint, refusal, execution, nowMs);
    }

    /** Records how the execution of a key ended; one that did not run leaves no record. */
    void end(KeyId key, Execution execution, Answer answer, long nowMs) {
        shardOf(key).end(key, execution, answer, nowMs);
    }

    /** Removes the record of an execution that will never start. */
    void forget(KeyId key, Execution execution) {
        shardOf(key).forget(key, execution);
    }

    int count() {
        return mCount.get();
    }

    private Shard shardOf(KeyId key) {
        return mShards.get(Math.floorMod(key.hashCode(), mShards.size()));
    }

    private final class Shard {
        private final Map<KeyId, KeyRecord> mRecords = new HashMap<>();
        private long mSweptMs = Long.MIN_VALUE;

        synchronized Claim claim(
                KeyId key,
                RequestFingerprint fingerprint,
                Optional<ResultCode> refusal,
                Supplier<Execution> execution,
                long nowMs) {
            sweep(nowMs);
            KeyRecord record = mRecords.get(key);
            if (record == null || gone(record, nowMs)) {
                return create(key, fingerprint, refusal, execution);
            }
            if (!record.fingerprint().equals(fingerprint)) {
                return new Claim.Refused(ResultCode.IDEMPOTENCY_KEY_REUSED);
            }
            if (record.state() instanceof State.Running running) {
                return new Claim.Run(running.execution(), false);
            }
            return new Claim.Replay(((State.Ended) record.state()).answer());
        }

        private Claim create(
                KeyId key,
                RequestFingerprint fingerprint,
                Optional<ResultCode> refusal,
                Supplier<Execution> supplier) {
            if (refusal.isPresent()) {
                return new Claim.Refused(refusal.get());
            }
            boolean replaces = mRecords.containsKey(key);
            if (!replaces && !reserve()) {
                return new Claim.Refused(ResultCode.OVERLOADED);
            }
            Execution execution = supplier.get();
            KeyRecord old =
                    mRecords.put(key, new KeyRecord(fingerprint, new State.Running(execution)));
            if (old != null) {
                mRetained.subtract(bytesOf(old));
            }
            return new Claim.Run(execution, true);
        }

        private boolean reserve() {
            if (!mRetained.hasRoomFor(Answer.MAXIMUM_BODY_BYTES)) {
                return false;
            }
            if (mCount.incrementAndGet() > mMaximumRecords) {
                mCount.decrementAndGet();
                return false;
            }
            return true;
        }

        private boolean gone(KeyRecord record, long nowMs) {
            if (record.state() instanceof State.Running running) {
                return running.execution().abandoned();
            }
            return nowMs - ((State.Ended) record.state()).endedMs() >= mRetentionMs;
        }

        synchronized void end(KeyId key, Execution execution, Answer answer, long nowMs) {
            KeyRecord record = mRecords.get(key);
            if (record == null || !isOf(record, execution)) {
                return;
            }
            if (answer.outcome() == Outcome.NOT_RUN) {
                drop(key, record);
                return;
            }
            Answer kept =
                    answer.outcome() == Outcome.UNKNOWN
                            ? Answer.of(ResultCode.OUTCOME_UNKNOWN)
                            : answer;
            mRetained.add(kept.bytes());
            mRecords.put(key, new KeyRecord(record.fingerprint(), new State.Ended(kept, nowMs)));
        }

        synchronized void forget(KeyId key, Execution execution) {
            KeyRecord record = mRecords.get(key);
            if (record != null && isOf(record, execution)) {
                drop(key, record);
            }
        }

        private void sweep(long nowMs) {
            if (mSweptMs != Long.MIN_VALUE && nowMs - mSweptMs < SWEEP_INTERVAL_MS) {
                return;
            }
            mSweptMs = nowMs;
            List<Map.Entry<KeyId, KeyRecord>> old =
                    mRecords.entrySet().stream()
                            .filter(entry -> gone(entry.getValue(), nowMs))
                            .toList();
            for (Map.Entry<KeyId, KeyRecord> entry : old) {
                drop(entry.getKey(), entry.getValue());
            }
        }

        private void drop(KeyId key, KeyRecord record) {
            mRecords.remove(key);
            mCount.decrementAndGet();
            mRetained.subtract(bytesOf(record));
        }

        private static boolean isOf(KeyRecord record, Execution execution) {
            return record.state() instanceof State.Running running
                    && running.execution() == execution;
        }

        private static long bytesOf(KeyRecord record) {
            return record.state() instanceof State.Ended ended ? ended.answer().bytes() : 0;
        }
    }
}
