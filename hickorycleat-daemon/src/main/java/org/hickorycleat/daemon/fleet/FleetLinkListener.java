package org.hickorycleat.daemon.fleet;

import org.hickorycleat.model.message.FleetNode;
import org.hickorycleat.model.message.Message;

/** Handles the events of the links of a process. */
public interface FleetLinkListener {
    /** Handles the opening of the first link to a peer. */
    void onConnected(FleetNode peer);

    /** Handles the closing of the last link to a peer. */
    void onDisconnected(FleetNode peer);

    /** Handles a message of a peer. */
    void onMessage(FleetNode peer, Message message);

    /** Handles an entry that belongs to the fleet no longer, because nobody has contact to it. */
    default void onEntryGone(FleetNode entry) {}
}
