package org.hickorycleat.cli.log;

import org.hickorycleat.model.configuration.RecordOutcome;
import org.hickorycleat.model.identifier.ConfigurationVersion;

/**
 * Result of the publication of a manifest.
 *
 * @param outcome outcome of the record of the manifest
 * @param version configuration version directly after the record
 */
record PublicationResult(RecordOutcome outcome, ConfigurationVersion version) {}
