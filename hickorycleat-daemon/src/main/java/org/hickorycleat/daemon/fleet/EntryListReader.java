package org.hickorycleat.daemon.fleet;

import java.util.Optional;
import org.hickorycleat.daemon.logging.EventLog;
import org.hickorycleat.logic.port.RecordStore;
import org.hickorycleat.logic.port.SingleCallbacks;
import org.hickorycleat.model.store.StoreReadRequest;

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

    /** Reads the list once. */
    void read() {
        SingleCallbacks.subscribe(
                mStore.read(StoreReadRequest.newest(JobLogCodec.ENTRIES_TOPIC, 0, "")),
                page ->
                        mLinks.addEntries(
                                page.records().stream()
                                        .map(mCodec::decodeEntry)
                                        .flatMap(Optional::stream)
                                        .toList()),
                error -> LOG.event("entries_unread").with("cause", error).info());
    }
}
