package org.hickorycleat.model.message;

/**
 * Requests a copy of the configuration of a peer; without a newer version, the peer does not
 * respond.
 *
 * @param knownVersion version of the active configuration of the sender, -1 for none
 */
public record ConfigurationRequest(long knownVersion) implements Message {}
