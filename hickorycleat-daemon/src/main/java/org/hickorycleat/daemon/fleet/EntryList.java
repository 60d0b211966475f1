package org.hickorycleat.daemon.fleet;

import io.reactivex.rxjava3.core.Scheduler;
import io.reactivex.rxjava3.core.Single;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.hickorycleat.daemon.logging.EventLog;
import org.hickorycleat.logic.port.RecordStore;
import org.hickorycleat.logic.port.SingleCallbacks;
import org.hickorycleat.model.message.FleetNode;
import org.hickorycleat.model.store.AppendOutcome;
import org.hickorycleat.model.store.AppendResult;
import org.hickorycleat.model.store.StoreAppendRequest;
import org.hickorycleat.model.store.StoreRecord;

/**
 * Keeps this entry in the list of entries in the store, reads the list, and removes entries that
 * are gone.
 *
 * <p>An entry that was removed although it runs, because no other entry could reach it for long,
 * adds itself again when it reads the list.
 */
final class EntryList {
    private static final EventLog LOG = EventLog.of(EntryList.class);

    /** Interval between two reads of the list, in milliseconds. */
    private static final long READ_INTERVAL_MS = 5_000;

    /** Delay after which an append without success is retried, in milliseconds. */
    private static final long RETRY_DELAY_MS = 5_000;

    /** Time of an event that has not happened yet. */
    private static final long NEVER = Long.MAX_VALUE;

    private final FleetNode mSelf;
    private final RecordStore mStore;
    private final EntryListReader mReader;
    private final JobLogCodec mCodec;
    private final Scheduler mScheduler;
    private volatile long mReadAtMs = Long.MIN_VALUE / 2;
    private volatile long mAddedAtMs = NEVER;

    EntryList(
            FleetNode self,
            RecordStore store,
            EntryListReader reader,
            JobLogCodec codec,
            Scheduler scheduler) {
        mSelf = self;
        mStore = store;
        mReader = reader;
        mCodec = codec;
        mScheduler = scheduler;
    }

    /** Adds this entry to the list. */
    void start() {
        addSelf();
    }

    private void addSelf() {
        SingleCallbacks.subscribe(
                append(mCodec.encodeEntry(mSelf)),
                this::onSelfAdded,
                error -> {
                    LOG.event("announce_failed").with("cause", error).warn();
                    onSelfAdded(AppendResult.UNKNOWN);
                });
    }

    private void onSelfAdded(AppendResult result) {
        if (result == AppendResult.APPENDED) {
            mAddedAtMs = nowMs();
            return;
        }
        mScheduler.scheduleDirect(this::addSelf, RETRY_DELAY_MS, TimeUnit.MILLISECONDS);
    }

    /** Reads the list if the last read is long enough ago. */
    void readIfDue() {
        if (nowMs() - mReadAtMs > READ_INTERVAL_MS) {
            mReadAtMs = nowMs();
            mReader.read(this::addSelfIfMissing);
        }
    }

    private void addSelfIfMissing(List<FleetNode> listed) {
        boolean missing =
                listed.stream().noneMatch(entry -> entry.process().equals(mSelf.process()));
        if (missing && mAddedAtMs < mReadAtMs) {
            LOG.event("entry_missing_from_list").with("listed", listed.size()).info();
            mAddedAtMs = NEVER;
            addSelf();
        }
    }

    /** Removes an entry that is gone; if that fails, it is learnt again and removed later. */
    void remove(FleetNode entry) {
        SingleCallbacks.subscribe(
                append(mCodec.encodeEntryRemoval(entry.process())),
                result ->
                        LOG.event("entry_unlisted")
                                .with("entry", entry.process())
                                .with("result", result)
                                .info(),
                error ->
                        LOG.event("entry_unlisted")
                                .with("entry", entry.process())
                                .with("cause", error)
                                .warn());
    }

    private Single<AppendResult> append(StoreRecord record) {
        return mStore.append(
                        StoreAppendRequest.unconditional(JobLogCodec.ENTRIES_TOPIC, 0),
                        List.of(record))
                .map(AppendOutcome::result);
    }

    private long nowMs() {
        return mScheduler.now(TimeUnit.MILLISECONDS);
    }
}
