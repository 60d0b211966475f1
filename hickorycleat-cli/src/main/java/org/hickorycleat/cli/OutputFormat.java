package org.hickorycleat.cli;

/** Form of the output. */
public enum OutputFormat {
    /** For people. */
    TEXT,
    /** For programs. */
    JSON
}
