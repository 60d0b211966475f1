package org.hickorycleat.model.message;

import java.util.Optional;
import org.hickorycleat.model.store.AppendOutcome;
import org.hickorycleat.model.store.StorePage;

/**
 * Outcome of a {@link RelayedStoreRequest}; both {@code append} and {@code page} are empty when a
 * read failed.
 */
public record RelayedStoreResponse(
        long number, Optional<AppendOutcome> append, Optional<StorePage> page) implements Message {}
