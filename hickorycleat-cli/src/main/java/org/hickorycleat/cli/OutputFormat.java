package org.hickorycleat.cli;

/** Output format of a command. */
public enum OutputFormat {
    /** Human-readable text. */
    TEXT,
    /** Machine-readable JSON. */
    JSON
}
