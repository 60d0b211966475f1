package org.hickorycleat.model.message;

import org.hickorycleat.model.identifier.ConfigurationVersion;

/** The active configuration of the sender, or the configuration slice that the receiver needs. */
@SuppressWarnings(
        "ArrayRecordComponent") // Shared without copying: manifests are large and never modified.
public record ConfigurationUpdate(ConfigurationVersion version, byte[] manifest)
        implements Message {}
