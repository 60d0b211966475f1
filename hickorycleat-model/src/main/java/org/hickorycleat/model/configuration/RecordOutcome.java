package org.hickorycleat.model.configuration;

/** Effect of a record of the configuration stream. */
public enum RecordOutcome {
    /** The manifest became the current configuration. */
    ACCEPTED,
    /** A duplicate: the bytes equal the current manifest. The version is unchanged. */
    REPEATED,
    /** The manifest is based on a version that was not current at the record's offset. */
    STALE_BASE,
    /** The manifest failed validation. */
    INVALID_MANIFEST,
    /** A snapshot read while the version was already known; it changes nothing. */
    SNAPSHOT,
    /** A snapshot from which a reader of a truncated stream recovered the current version. */
    RECOVERED,
    /** The record cannot be evaluated yet, because the reader does not know the current version. */
    UNDECIDED,
    /** The payload is not a configuration record; it is skipped. */
    MALFORMED
}
