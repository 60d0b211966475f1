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
 * Appends the current manifest again before retention drops it. Every entry may run one: a second
 * snapshot changes nothing for any reader.
 */
public final class SnapshotAppender {
    private static final int CHECKS_PER_AGE = 20;
    private static final byte[] NO_MANIFEST = {};

    private final IdempotentAppender mAppender;
    private final ProcessId mWriter;
    private final Incarnation mIncarnation;
    private final LongSupplier mSequences;
    private final Supplier<ConfigurationHistory> mHistory;
    private final SnapshotClock mClock;
    private final Duration mCheckInterval;
    private final Scheduler mScheduler;

    /** Creates it; the sequences are those of the appender's writer on this stream. */
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
        mClock = new SnapshotClock(policy, random, scheduler);
        mCheckInterval = policy.maximumAge().dividedBy(CHECKS_PER_AGE);
        mScheduler = scheduler;
    }

    /** Runs until disposed of. */
    public Completable run() {
        return Flowable.interval(
                        Math.max(1, mCheckInterval.toMillis()), TimeUnit.MILLISECONDS, mScheduler)
                .onBackpressureDrop()
                .concatMapCompletable(tick -> appendIfDue(), 1);
    }

    private Completable appendIfDue() {
        ConfigurationHistory history = mHistory.get();
        if (!mClock.isDue(history)) {
            return Completable.complete();
        }
        RecordId id = new RecordId(mWriter, mIncarnation, mSequences.getAsLong());
        byte[] payload = ConfigurationRecordCodec.encode(snapshot(id, history));
        return mAppender
                .append(new AppendRequest(id, payload, history.nextOffset()))
                .doOnSuccess(offset -> mClock.appended())
                .ignoreElement()
                .onErrorComplete();
    }

    private static ConfigurationRecord snapshot(RecordId id, ConfigurationHistory history) {
        byte[] manifest = history.current().map(AcceptedConfiguration::bytes).orElse(NO_MANIFEST);
        return new ConfigurationRecord.Snapshot(
                id, history.version(), history.nextOffset(), manifest);
    }
}
