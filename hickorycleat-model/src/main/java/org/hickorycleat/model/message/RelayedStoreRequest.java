package org.hickorycleat.model.message;

import java.util.List;
import java.util.Optional;
import org.hickorycleat.model.store.StoreAppendRequest;
import org.hickorycleat.model.store.StoreReadRequest;
import org.hickorycleat.model.store.StoreRecord;

/**
 * A call to the store that the sender cannot make itself.
 *
 * @param number identifies the call on its link
 * @param records records to append; empty for a read
 */
public record RelayedStoreRequest(
        long number,
        Optional<StoreAppendRequest> append,
        List<StoreRecord> records,
        Optional<StoreReadRequest> read)
        implements Message {}
