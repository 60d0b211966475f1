package org.hickorycleat.model.message;

import java.util.List;
import java.util.Optional;
import org.hickorycleat.model.store.StoreAppendRequest;
import org.hickorycleat.model.store.StoreReadRequest;
import org.hickorycleat.model.store.StoreRecord;

/**
 * A request to the store that a peer relays because the sender cannot reach the store.
 *
 * @param number identifies the request on its link
 * @param records records to append; empty for a read
 */
public record RelayedStoreRequest(
        long number,
        Optional<StoreAppendRequest> append,
        List<StoreRecord> records,
        Optional<StoreReadRequest> read)
        implements Message {}
