package org.hickorycleat.logic.configuration;

import org.hickorycleat.model.configuration.RecordOutcome;

/** Receives the outcome of each record of the configuration stream, for logs and counters. */
@FunctionalInterface
public interface ConfigurationRecordListener {
    /** Handles the outcome of a record. */
    void onRecord(long offset, RecordOutcome outcome);
}
