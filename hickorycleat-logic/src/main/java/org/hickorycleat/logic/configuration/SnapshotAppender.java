package org.hickorycleat.logic.configuration;

import io.reactivex.rxjava3.core.Completable;
import io.reactivex.rxjava3.core.Flowable;
import io.reactivex.rxjava3.core.Scheduler;
import java.time.Duration;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import java.util.function.Supplier;
import org.hickorycleat.logic.log.AppendRequest;
import org.hickorycleat.logic.log.IdempotentAppender;
import org.hickorycleat.model.configuration.AcceptedConfiguration;
import org.hickorycleat.model.configuration.ConfigurationHistory;
import org.hickorycleat.model.configuration.ConfigurationRecord;
import org.hickorycleat.model.configuration.ConfigurationRecordCodec;
import org.hickorycleat.model.identifier.Incarnation;
import org.hickorycleat.model.identifier.ProcessId;
import org.hickorycleat.model.identifier.RecordId;

/**
 * Appends a snapshot of the current manifest before the retention of the log removes the previous
 * one. Every entry may run one, because a duplicate snapshot changes nothing for readers.
 */
public final class SnapshotAppender {
    private static final int CHECKS_PER_MAXIMUM_AGE = 20;
    private static final byte[] NO_MANIFEST = {};

    private final IdempotentAppender mAppender;
    private final ProcessId mWriter;
    private final Incarnation mIncarnation;
    private final LongSupplier mSequences;
    private final Supplier<ConfigurationHistory> mHistory;
    private final SnapshotSchedule mSchedule;
    private final Duration mCheckInterval;
    private final Scheduler mScheduler;

    /** Creates an appender; the sequence numbers must be those of its writer on this stream. */
    public SnapshotAppender(
            IdempotentAppender appender,
            ProcessId writer,
            Incarnation incarnation,
            LongSupplier sequences,
            Supplier<ConfigurationHistory> history,
            SnapshotPolicy policy,
            Random random,
            Scheduler scheduler) {
        mAppender = appender;
        mWriter = writer;
        mIncarnation = incarnation;
        mSequences = sequences;
        mHistory = history;
        mSchedule = new SnapshotSchedule(policy, random, scheduler);
        mCheckInterval = policy.maximumAge().dividedBy(CHECKS_PER_MAXIMUM_AGE);
        mScheduler = scheduler;
    }

    /** Appends snapshots when they are due, until disposed of. */
    public Completable run() {
        return Flowable.interval(
                        Math.max(1, mCheckInterval.toMillis()), TimeUnit.MILLISECONDS, mScheduler)
                .onBackpressureDrop()
                .concatMapCompletable(tick -> appendIfDue(), 1);
    }

    private Completable appendIfDue() {
        ConfigurationHistory history = mHistory.get();
        if (!mSchedule.isDue(history)) {
            return Completable.complete();
        }
        RecordId id = new RecordId(mWriter, mIncarnation, mSequences.getAsLong());
        byte[] payload = ConfigurationRecordCodec.encode(snapshot(id, history));
        return mAppender
                .append(new AppendRequest(id, payload, history.nextOffset()))
                .doOnSuccess(offset -> mSchedule.onAppended())
                .ignoreElement()
                .onErrorComplete();
    }

    private static ConfigurationRecord snapshot(RecordId id, ConfigurationHistory history) {
        byte[] manifest = history.current().map(AcceptedConfiguration::bytes).orElse(NO_MANIFEST);
        return new ConfigurationRecord.Snapshot(
                id, history.version(), history.nextOffset(), manifest);
    }
}
