package org.hickorycleat.daemon.settings;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.List;
import java.util.Optional;

/**
 * Settings of the agent role.
 *
 * @param entries addresses of entries to start from
 * @param maximumLinks entries that the agent keeps connections to
 * @param keyValidity how long a caller may repeat an idempotency key
 * @param worker address of the worker beside the agent
 */
public record AgentSettings(
        List<InetSocketAddress> entries,
        int maximumLinks,
        Duration keyValidity,
        Optional<String> worker) {
    /** Copies the collections. */
    public AgentSettings {
        entries = List.copyOf(entries);
    }
}
