package org.hickorycleat.daemon.fleet;

import io.reactivex.rxjava3.core.Single;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
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

    private String mRejectedKey = "";
    private AppendResult mKeyRejection = AppendResult.REFUSED;
    private int mMaximumRecordBytes = Integer.MAX_VALUE;
    private AppendResult mSizeRejection = AppendResult.REFUSED;

    List<List<StoreRecord>> appends() {
        return mAppends;
    }

    void setOutcome(Single<AppendOutcome> outcome) {
        mOutcome = outcome;
    }

    /** Rejects every append that has a record with the given key. */
    void rejectKey(String key, AppendResult result) {
        mRejectedKey = key;
        mKeyRejection = result;
    }

    /** Rejects every append that has a larger record. */
    void limitRecords(int maximumBytes, AppendResult result) {
        mMaximumRecordBytes = maximumBytes;
        mSizeRejection = result;
    }

    private Optional<AppendResult> rejection(StoreRecord record) {
        if (record.value().length > mMaximumRecordBytes) {
            return Optional.of(mSizeRejection);
        }
        return record.key().equals(mRejectedKey) ? Optional.of(mKeyRejection) : Optional.empty();
    }

    static long bytes(List<StoreRecord> records) {
        return records.stream().mapToLong(record -> record.value().length).sum();
    }

    @Override
    public Single<AppendOutcome> append(StoreAppendRequest request, List<StoreRecord> records) {
        Optional<AppendResult> rejection =
                records.stream().map(this::rejection).flatMap(Optional::stream).findFirst();
        if (rejection.isPresent()) {
            return Single.just(new AppendOutcome(rejection.get(), 0));
        }
        mAppends.add(records);
        return mOutcome;
    }

    @Override
    public Single<StorePage> read(StoreReadRequest request) {
        return Single.never();
    }
}
