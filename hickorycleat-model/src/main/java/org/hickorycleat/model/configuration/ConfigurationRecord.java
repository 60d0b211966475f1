package org.hickorycleat.model.configuration;

import org.hickorycleat.model.identifier.ConfigurationVersion;
import org.hickorycleat.model.identifier.RecordId;

/** A record of the stream {@code configuration}. */
public sealed interface ConfigurationRecord {
    /** Returns the identity of the record. */
    RecordId id();

    /** Returns the serialized manifest, exactly as published. */
    byte[] manifest();

    /** A manifest that an operator published. */
    @SuppressWarnings("ArrayRecordComponent") // Shared without copying; never modified.
    record Publication(RecordId id, byte[] manifest) implements ConfigurationRecord {}

    /**
     * A copy of an accepted manifest, appended before retention removes the original.
     *
     * @param id identity of the record
     * @param version offset of the original publication
     * @param asOf offset before which the writer had read every record; {@code version} was current
     *     there. Another manifest may have been accepted between this offset and the snapshot.
     * @param manifest serialized manifest
     */
    @SuppressWarnings("ArrayRecordComponent") // Shared without copying; never modified.
    record Snapshot(RecordId id, ConfigurationVersion version, long asOf, byte[] manifest)
            implements ConfigurationRecord {}
}
