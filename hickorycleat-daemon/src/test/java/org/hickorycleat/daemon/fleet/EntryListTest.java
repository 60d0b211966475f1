package org.hickorycleat.daemon.fleet;

import static org.assertj.core.api.Assertions.assertThat;

import io.micrometer.core.instrument.simple.SimpleMeterRegistry;
import io.reactivex.rxjava3.core.Single;
import io.reactivex.rxjava3.schedulers.TestScheduler;
import java.util.List;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import org.hickorycleat.daemon.transport.MessageTransport;
import org.hickorycleat.daemon.transport.TransportMetrics;
import org.hickorycleat.logic.port.RecordStore;
import org.hickorycleat.model.identifier.ProcessId;
import org.hickorycleat.model.identifier.ZoneId;
import org.hickorycleat.model.message.FleetNode;
import org.hickorycleat.model.message.Message;
import org.hickorycleat.model.message.ProcessRole;
import org.hickorycleat.model.store.AppendOutcome;
import org.hickorycleat.model.store.AppendResult;
import org.hickorycleat.model.store.StoreAppendRequest;
import org.hickorycleat.model.store.StorePage;
import org.hickorycleat.model.store.StoreReadRequest;
import org.hickorycleat.model.store.StoreRecord;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

class EntryListTest {
    private final TestScheduler mScheduler = new TestScheduler();
    private final MessageTransport mTransport =
            new MessageTransport(1, new TransportMetrics(new SimpleMeterRegistry()));
    private final JobLogCodec mCodec = new JobLogCodec();
    private final KeyedStore mStore = new KeyedStore();
    private final FleetNode mSelf = node("entry-1");
    private final FleetNode mOther = node("entry-2");
    private final FleetLinks mLinks =
            new FleetLinks(mTransport, mSelf, ignoringListener(), mScheduler);
    private final EntryList mList =
            new EntryList(
                    mSelf, mStore, new EntryListReader(mStore, mLinks, mCodec), mCodec, mScheduler);

    @AfterEach
    void closeTransport() {
        mTransport.close();
    }

    private static FleetNode node(String process) {
        return new FleetNode(
                new ProcessId(process),
                ProcessRole.ENTRY,
                new ZoneId("north"),
                "127.0.0.1",
                80,
                750,
                5);
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

    /** Keeps the newest record of each key; may fail for a number of appends. */
    private static final class KeyedStore implements RecordStore {
        private final TreeMap<String, StoreRecord> mRecords = new TreeMap<>();
        private int mFailures;
        private int mAppends;

        @Override
        public Single<AppendOutcome> append(StoreAppendRequest request, List<StoreRecord> records) {
            mAppends++;
            if (mFailures > 0) {
                mFailures--;
                return Single.error(new IllegalStateException("store down"));
            }
            for (StoreRecord record : records) {
                if (record.value().length == 0) {
                    mRecords.remove(record.key());
                } else {
                    mRecords.put(record.key(), record);
                }
            }
            return Single.just(new AppendOutcome(AppendResult.APPENDED, mAppends));
        }

        @Override
        public Single<StorePage> read(StoreReadRequest request) {
            return Single.just(
                    new StorePage(List.copyOf(mRecords.values()), mAppends, false, false));
        }
    }

    private void advance() {
        mScheduler.advanceTimeBy(6, TimeUnit.SECONDS);
        mList.readIfDue();
    }

    /** Guards against an entry that stays unknown after its append failed. */
    @Test
    void addsItselfUntilStoreResponds() {
        mStore.mFailures = 3;
        mList.start();
        for (int i = 0; i < 3; i++) {
            advance();
        }

        assertThat(mStore.mRecords).containsOnlyKeys("entry-1");
        assertThat(mStore.mAppends).isEqualTo(4);
    }

    /** Guards against a running entry that nobody learns of after it was taken for gone. */
    @Test
    void addsItselfAgainAfterItWasRemoved() {
        mList.start();
        advance();
        assertThat(mStore.mAppends).isEqualTo(1);

        mStore.mRecords.remove("entry-1");
        advance();
        assertThat(mStore.mRecords).containsOnlyKeys("entry-1");
        advance();
        assertThat(mStore.mAppends).isEqualTo(2);
    }

    /** Guards against a list that grows with every entry that was replaced. */
    @Test
    void removesEntryThatIsGone() {
        mStore.mRecords.put("entry-2", mCodec.encodeEntry(mOther));
        mList.start();
        mList.remove(mOther);

        assertThat(mStore.mRecords).containsOnlyKeys("entry-1");
    }
}
