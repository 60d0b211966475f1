package org.hickorycleat.daemon.fleet;

import java.util.List;
import java.util.Optional;
import org.hickorycleat.daemon.logging.EventLog;
import org.hickorycleat.logic.port.RecordStore;
import org.hickorycleat.logic.port.SingleCallbacks;
import org.hickorycleat.model.store.StorePage;
import org.hickorycleat.model.store.StoreReadRequest;
import org.hickorycleat.model.store.StoreRecord;

/** Reads the list of entries from the store and adds them to the links. */
final class EntryListReader {
    private static final EventLog LOG = EventLog.of(EntryListReader.class);

    private final RecordStore mStore;
    private final FleetLinks mLinks;
    private final JobLogCodec mCodec;

    EntryListReader(RecordStore store, FleetLinks links, JobLogCodec codec) {
        mStore = store;
        mLinks = links;
        mCodec = codec;
    }

    /** Reads all pages of the list once. */
    void read() {
        readAfter("");
    }

    private void readAfter(String key) {
        SingleCallbacks.subscribe(
                mStore.read(StoreReadRequest.newest(JobLogCodec.ENTRIES_TOPIC, 0, key)),
                this::onPage,
                error -> LOG.event("entries_unread").with("cause", error).info());
    }

    private void onPage(StorePage page) {
        List<StoreRecord> records = page.records();
        mLinks.addEntries(
                records.stream().map(mCodec::decodeEntry).flatMap(Optional::stream).toList());
        if (page.hasMore() && !records.isEmpty()) {
            readAfter(records.get(records.size() - 1).key());
        }
    }
}
