package org.hickorycleat.daemon.entry;

import org.hickorycleat.model.message.Hello;
import org.hickorycleat.model.message.Message;

/** Receives the events of connections that agents and other entries opened. */
interface InboundConnectionListener {
    /** Called when an agent opened a session. */
    void onAgentOpened(Hello agent);

    /** Called when a message from an agent arrived. */
    void onAgentMessage(Hello agent, Message message);

    /** Called when an agent's session closed. */
    void onAgentClosed(Hello agent);

    /** Called when another entry opened a connection. */
    void onPeerOpened(Hello peer);

    /** Called when a message from another entry arrived. */
    void onPeerMessage(Hello peer, Message message);
}
