package org.hickorycleat.model.configuration;

import org.hickorycleat.model.identifier.ConfigurationVersion;
import org.hickorycleat.model.manifest.Manifest;

/**
 * A manifest that was accepted.
 *
 * @param version offset of its publication in the configuration stream
 * @param manifest parsed form of {@code bytes}
 * @param bytes serialized manifest, exactly as published
 */
@SuppressWarnings("ArrayRecordComponent") // Shared without copying; never modified.
public record AcceptedConfiguration(
        ConfigurationVersion version, Manifest manifest, byte[] bytes) {}
