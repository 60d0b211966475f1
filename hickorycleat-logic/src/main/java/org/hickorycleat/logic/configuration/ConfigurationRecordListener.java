package org.hickorycleat.logic.configuration;

import org.hickorycleat.model.configuration.RecordOutcome;

/** Learns what each record of the configuration stream did, for logs and counters. */
@FunctionalInterface
public interface ConfigurationRecordListener {
    /** Takes note of a record. */
    void onRecord(long offset, RecordOutcome outcome);
}
