package org.hickorycleat.model.message;

import org.hickorycleat.model.identifier.ConfigurationVersion;

/** The configuration in force at the sender, or the slice that the receiver needs. */
@SuppressWarnings(
        "ArrayRecordComponent") // Copied neither in nor out: bodies are large and never changed.
public record ConfigurationUpdate(ConfigurationVersion version, byte[] manifest)
        implements Message {}
