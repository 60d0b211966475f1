package org.hickorycleat.model.configuration;

import org.hickorycleat.model.identifier.ConfigurationVersion;
import org.hickorycleat.model.manifest.Manifest;

/**
 * A manifest that was accepted.
 *
 * @param version offset of its publication
 * @param manifest parsed manifest
 * @param bytes bytes as published
 */
@SuppressWarnings("ArrayRecordComponent") // Copied neither in nor out: never changed.
public record AcceptedConfiguration(
        ConfigurationVersion version, Manifest manifest, byte[] bytes) {}
