package org.hickorycleat.daemon.settings;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.List;
import java.util.Optional;

/**
 * Settings of the agent role.
 *
 * @param entries addresses of the first entries to connect to; further ones are discovered
 * @param maximumLinks maximum number of entries that the agent keeps connections to
 * @param keyValidity how long a caller may retry a request with the same idempotency key
 * @param worker address of the local worker, if there is one
 */
public record AgentSettings(
        List<InetSocketAddress> entries,
        int maximumLinks,
        Duration keyValidity,
        Optional<String> worker) {
    /** Makes a defensive copy of the list. */
    public AgentSettings {
        entries = List.copyOf(entries);
    }
}
