package org.hickorycleat.model.configuration;

import org.hickorycleat.model.identifier.ConfigurationVersion;
import org.hickorycleat.model.identifier.RecordId;

/** A record of the stream {@code configuration}. */
public sealed interface ConfigurationRecord {
    /** Returns the identity of the record. */
    RecordId id();

    /** Returns the bytes of the manifest, exactly as published. */
    byte[] manifest();

    /** An operator's publication. */
    @SuppressWarnings("ArrayRecordComponent") // Copied neither in nor out: never changed.
    record Publication(RecordId id, byte[] manifest) implements ConfigurationRecord {}

    /**
     * A copy of an accepted manifest, appended before retention drops the original.
     *
     * @param id identity of the record
     * @param version offset of the original publication
     * @param asOf offset before which the writer had read everything; {@code version} was the
     *     current one there. Another manifest may have been accepted between it and the snapshot.
     * @param manifest bytes of the manifest
     */
    @SuppressWarnings("ArrayRecordComponent") // Copied neither in nor out: never changed.
    record Snapshot(RecordId id, ConfigurationVersion version, long asOf, byte[] manifest)
            implements ConfigurationRecord {}
}
