package org.hickorycleat.daemon.settings;

import java.net.InetSocketAddress;
import java.util.List;

/**
 * Settings of the entry role.
 *
 * @param callerListen address for callers
 * @param peerListen address for agents and other entries
 * @param peers addresses of other entries to start from
 * @param logService address of the log service
 */
public record EntrySettings(
        InetSocketAddress callerListen,
        InetSocketAddress peerListen,
        List<InetSocketAddress> peers,
        String logService) {
    /** Copies the collections. */
    public EntrySettings {
        peers = List.copyOf(peers);
    }
}
