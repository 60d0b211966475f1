package org.hickorycleat.logic.port;

import io.reactivex.rxjava3.core.Single;
import java.util.List;
import org.hickorycleat.model.store.AppendOutcome;
import org.hickorycleat.model.store.StoreAppendRequest;
import org.hickorycleat.model.store.StorePage;
import org.hickorycleat.model.store.StoreReadRequest;
import org.hickorycleat.model.store.StoreRecord;

/** Durable store of keyed records in topics. */
public interface RecordStore {
    /** Appends all records or none; never fails, errors are part of the outcome. */
    Single<AppendOutcome> append(StoreAppendRequest terms, List<StoreRecord> records);

    /** Reads a page; fails with {@link StoreUnavailableException}. */
    Single<StorePage> read(StoreReadRequest terms);
}
