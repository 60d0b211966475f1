package org.hickorycleat.model.message;

/**
 * An entry, and how long ago any process had contact to it as far as the sender knows.
 *
 * @param contactAgeMs time since the last contact of any process, in milliseconds
 */
public record KnownEntry(FleetNode node, long contactAgeMs) {}
