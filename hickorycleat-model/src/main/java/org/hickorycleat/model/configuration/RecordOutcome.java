package org.hickorycleat.model.configuration;

/** What a record of the configuration stream did. */
public enum RecordOutcome {
    /** The manifest became the current one. */
    ACCEPTED,
    /** The bytes repeat the current manifest, so it is the same publication. */
    REPEATED,
    /** The manifest was made from a version that was not the current one at its place. */
    STALE_BASE,
    /** The manifest has errors. */
    INVALID_MANIFEST,
    /** A snapshot of a known version; it changes nothing. */
    SNAPSHOT,
    /** A snapshot from which a reader of a truncated stream learned the current version. */
    RECOVERED,
    /** The reader cannot judge the record, because it knows no version to start from. */
    UNDECIDED,
    /** Not a record of this stream; it is skipped. */
    MALFORMED
}
