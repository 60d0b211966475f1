package org.hickorycleat.daemon.settings;

import java.net.InetSocketAddress;
import java.util.List;

/**
 * Settings of the entry role.
 *
 * @param callerListen address to listen on for callers
 * @param peerListen address to listen on for agents and other entries
 * @param peers addresses of the first other entries to connect to; further ones are discovered
 * @param logService address of the log service
 */
public record EntrySettings(
        InetSocketAddress callerListen,
        InetSocketAddress peerListen,
        List<InetSocketAddress> peers,
        String logService) {
    /** Makes a defensive copy of the list. */
    public EntrySettings {
        peers = List.copyOf(peers);
    }
}
