package org.hickorycleat.cli.log;

import org.hickorycleat.model.configuration.RecordOutcome;
import org.hickorycleat.model.identifier.ConfigurationVersion;

/**
 * What became of a manifest in the log.
 *
 * @param outcome what its record did
 * @param version current version directly after the record
 */
record PublicationResult(RecordOutcome outcome, ConfigurationVersion version) {}
