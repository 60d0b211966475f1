package org.hickorycleat.daemon.fleet;

import org.hickorycleat.model.message.FleetNode;
import org.hickorycleat.model.message.Message;

/** Receives the events of the links of a process. */
public interface FleetLinkListener {
    /** The first link to a peer is open. */
    void onConnected(FleetNode peer);

    /** The last link to a peer is closed. */
    void onDisconnected(FleetNode peer);

    /** A message of a peer arrived. */
    void onMessage(FleetNode peer, Message message);
}
