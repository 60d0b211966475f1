package org.hickorycleat.model.manifest;

import java.util.regex.Pattern;

/** Limits on the values of a manifest; docs/manifest.md lists them for operators. */
public final class ManifestLimits {
    /** Supported schema version. */
    public static final int SCHEMA = 1;

    /**
     * Maximum size of a manifest; with its header it must fit into one 1 MiB frame between
     * processes.
     */
    public static final int MAXIMUM_BYTES = 960 * 1024;

    /** Maximum number of placement shards. */
    public static final int MAXIMUM_PLACEMENT_SHARDS = 256;

    /** Maximum number of instances of one service. */
    public static final int MAXIMUM_INSTANCES = 10_000;

    /** Maximum number of concurrent requests of one target. */
    public static final int MAXIMUM_SLOTS = 1_024;

    /** Maximum number of connections of one target. */
    public static final int MAXIMUM_CONNECTIONS = 65_535;

    /** Maximum latency goal; equal to the longest deadline of a request. */
    public static final long MAXIMUM_LATENCY_GOAL_MS = 600_000;

    /** Maximum weight of a team. */
    public static final int MAXIMUM_WEIGHT = 1_000;

    /** Maximum declared run time: one year of 365 days. */
    public static final long MAXIMUM_ESTIMATED_SECONDS = 31_536_000;

    /** Maximum amount of any resource; the sum of 2^20 such amounts does not overflow a long. */
    public static final long MAXIMUM_RESOURCE = 1_000_000_000;

    /**
     * Names appear in paths, headers and log lines and are therefore limited to characters that
     * need no escaping.
     */
    static final Pattern NAME = Pattern.compile("[A-Za-z0-9][A-Za-z0-9._-]{0,63}");

    static final String NAME_DESCRIPTION =
            "1 to 64 of letters, digits, '.', '_', '-', beginning with a letter or digit";

    /** HTTP methods as sent in the request line. */
    static final Pattern METHOD = Pattern.compile("[A-Z]{1,16}");

    private ManifestLimits() {}
}
