package org.hickorycleat.logic.log;

import java.util.Optional;
import org.hickorycleat.model.identifier.RecordId;

/** Reads the identity of a record from its payload. */
@FunctionalInterface
public interface RecordIdReader {
    /** Returns the identity; empty if the payload has none. */
    Optional<RecordId> read(byte[] payload);
}
