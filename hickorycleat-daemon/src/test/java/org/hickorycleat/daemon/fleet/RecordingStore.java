package org.hickorycleat.daemon.fleet;

import io.reactivex.rxjava3.core.Single;
import java.util.ArrayList;
import java.util.List;
import org.hickorycleat.logic.port.RecordStore;
import org.hickorycleat.model.store.AppendOutcome;
import org.hickorycleat.model.store.AppendResult;
import org.hickorycleat.model.store.StoreAppendRequest;
import org.hickorycleat.model.store.StorePage;
import org.hickorycleat.model.store.StoreReadRequest;
import org.hickorycleat.model.store.StoreRecord;

/** Records the appends, and answers them with a given outcome. */
final class RecordingStore implements RecordStore {
    private final List<List<StoreRecord>> mAppends = new ArrayList<>();
    private Single<AppendOutcome> mOutcome =
            Single.just(new AppendOutcome(AppendResult.APPENDED, 0));

    List<List<StoreRecord>> appends() {
        return mAppends;
    }

    void setOutcome(Single<AppendOutcome> outcome) {
        mOutcome = outcome;
    }

    static long bytes(List<StoreRecord> records) {
        return records.stream().mapToLong(record -> record.value().length).sum();
    }

    @Override
    public Single<AppendOutcome> append(StoreAppendRequest request, List<StoreRecord> records) {
        mAppends.add(records);
        return mOutcome;
    }

    @Override
    public Single<StorePage> read(StoreReadRequest request) {
        return Single.never();
    }
}
