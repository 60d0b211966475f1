package org.hickorycleat.daemon.fleet;

import static org.assertj.core.api.Assertions.assertThat;

import io.micrometer.core.instrument.simple.SimpleMeterRegistry;
import io.reactivex.rxjava3.core.Single;
import io.reactivex.rxjava3.schedulers.TestScheduler;
import java.util.List;
import java.util.stream.IntStream;
import org.hickorycleat.daemon.transport.MessageTransport;
import org.hickorycleat.daemon.transport.TransportMetrics;
import org.hickorycleat.logic.port.RecordStore;
import org.hickorycleat.model.identifier.ProcessId;
import org.hickorycleat.model.identifier.ZoneId;
import org.hickorycleat.model.message.FleetNode;
import org.hickorycleat.model.message.Message;
import org.hickorycleat.model.message.ProcessRole;
import org.hickorycleat.model.store.AppendOutcome;
import org.hickorycleat.model.store.StoreAppendRequest;
import org.hickorycleat.model.store.StorePage;
import org.hickorycleat.model.store.StoreReadRequest;
import org.hickorycleat.model.store.StoreRecord;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

class EntryListReaderTest {
    private static final int ENTRIES = 7;
    private static final int PAGE_RECORDS = 3;

    private final MessageTransport mTransport =
            new MessageTransport(1, new TransportMetrics(new SimpleMeterRegistry()));
    private final JobLogCodec mCodec = new JobLogCodec();

    @AfterEach
    void closeTransport() {
        mTransport.close();
    }

    private static FleetNode node(String process, ProcessRole role) {
        return new FleetNode(
                new ProcessId(process), role, new ZoneId("north"), "127.0.0.1", 80, 750, 5);
    }

    /** Returns the newest records in pages, in the order of their keys. */
    private final class PagedStore implements RecordStore {
        @Override
        public Single<AppendOutcome> append(StoreAppendRequest request, List<StoreRecord> records) {
            return Single.never();
        }

        @Override
        public Single<StorePage> read(StoreReadRequest request) {
            List<StoreRecord> following =
                    entries().stream()
                            .map(mCodec::encodeEntry)
                            .filter(record -> record.key().compareTo(request.afterKey()) > 0)
                            .toList();
            boolean hasMore = following.size() > PAGE_RECORDS;
            List<StoreRecord> page = hasMore ? following.subList(0, PAGE_RECORDS) : following;
            return Single.just(new StorePage(page, ENTRIES, hasMore, false));
        }
    }

    private static List<FleetNode> entries() {
        return IntStream.rangeClosed(1, ENTRIES)
                .mapToObj(number -> node("entry-" + number, ProcessRole.ENTRY))
                .toList();
    }

    private static FleetLinkListener ignoringListener() {
        return new FleetLinkListener() {
            @Override
            public void onConnected(FleetNode peer) {}

            @Override
            public void onDisconnected(FleetNode peer) {}

            @Override
            public void onMessage(FleetNode peer, Message message) {}
        };
    }

    /** Guards against entries that stay unknown because they are not on the first page. */
    @Test
    void addsEntriesOfAllPages() {
        FleetNode self = node("agent-1", ProcessRole.AGENT);
        FleetLinks links =
                new FleetLinks(mTransport, self, ignoringListener(), new TestScheduler());

        new EntryListReader(new PagedStore(), links, mCodec).read();

        assertThat(links.entries()).containsExactlyInAnyOrderElementsOf(entries());
    }
}
