package org.hickorycleat.model.message;

import java.util.List;
import java.util.Optional;
import org.hickorycleat.model.store.AppendTerms;
import org.hickorycleat.model.store.ReadTerms;
import org.hickorycleat.model.store.StoreRecord;

/**
 * A call to the store that the sender cannot make itself.
 *
 * @param number identifies the call on its link
 * @param records records to append; empty for a read
 */
public record StoreCall(
        long number,
        Optional<AppendTerms> append,
        List<StoreRecord> records,
        Optional<ReadTerms> read)
        implements Message {}
