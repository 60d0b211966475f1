package org.hickorycleat.daemon.fleet;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;
import org.hickorycleat.daemon.logging.EventLog;
import org.hickorycleat.logic.port.RecordStore;
import org.hickorycleat.logic.port.SingleCallbacks;
import org.hickorycleat.model.message.FleetNode;
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
        read(entries -> {});
    }

    /**
     * Reads all pages of the list once.
     *
     * @param onRead receives the entries of all pages; not called if a page cannot be read
     */
    void read(Consumer<List<FleetNode>> onRead) {
        readAfter("", List.of(), onRead);
    }

    private void readAfter(String key, List<FleetNode> previous, Consumer<List<FleetNode>> onRead) {
        SingleCallbacks.subscribe(
                mStore.read(StoreReadRequest.newest(JobLogCodec.ENTRIES_TOPIC, 0, key)),
                page -> onPage(page, previous, onRead),
                error -> LOG.event("entries_unread").with("cause", error).info());
    }

    private void onPage(
            StorePage page, List<FleetNode> previous, Consumer<List<FleetNode>> onRead) {
        List<StoreRecord> records = page.records();
        List<FleetNode> entries =
                records.stream().map(mCodec::decodeEntry).flatMap(Optional::stream).toList();
        mLinks.addEntries(entries);
        List<FleetNode> all = new ArrayList<>(previous);
        all.addAll(entries);
        if (page.hasMore() && !records.isEmpty()) {
            readAfter(records.get(records.size() - 1).key(), all, onRead);
        } else {
            onRead.accept(all);
        }
    }
}
