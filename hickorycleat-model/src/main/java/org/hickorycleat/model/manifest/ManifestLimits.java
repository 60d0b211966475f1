package org.hickorycleat.model.manifest;

import java.util.regex.Pattern;

/** Ranges of the values of a manifest; docs/manifest.md lists them for operators. */
public final class ManifestLimits {
    /** Version of the schema that is understood. */
    public static final int SCHEMA = 1;

    /** A whole manifest must fit into one frame of 1 MiB between processes, with its header. */
    public static final int MAXIMUM_BYTES = 960 * 1024;

    /** Most placement shards. */
    public static final int MAXIMUM_PLACEMENT_SHARDS = 256;

    /** Most instances of one service. */
    public static final int MAXIMUM_INSTANCES = 10_000;

    /** Most slots of one target. */
    public static final int MAXIMUM_SLOTS = 1_024;

    /** Most connections of one target. */
    public static final int MAXIMUM_CONNECTIONS = 65_535;

    /** Longest latency goal; equal to the longest deadline of a request. */
    public static final long MAXIMUM_LATENCY_GOAL_MS = 600_000;

    /** Highest weight of a team. */
    public static final int MAXIMUM_WEIGHT = 1_000;

    /** Longest declared run time: one year of 365 days. */
    public static final long MAXIMUM_ESTIMATED_SECONDS = 31_536_000;

    /** Highest amount of any resource; sums over 2^20 of them stay within a long. */
    public static final long MAXIMUM_RESOURCE = 1_000_000_000;

    /** Names appear in paths, headers and log lines, so they need no escaping. */
    static final Pattern NAME = Pattern.compile("[A-Za-z0-9][A-Za-z0-9._-]{0,63}");

    static final String NAME_DESCRIPTION =
            "1 to 64 of letters, digits, '.', '_', '-', beginning with a letter or digit";

    /** Methods as sent in the request line. */
    static final Pattern METHOD = Pattern.compile("[A-Z]{1,16}");

    private ManifestLimits() {}
}
