package org.hickorycleat.daemon.entry;

import org.hickorycleat.model.message.Hello;
import org.hickorycleat.model.message.Message;

/** What an entry learns from the connections of agents and other entries. */
interface InboundConnectionListener {
    /** An agent opened a session. */
    void onAgentOpened(Hello agent);

    /** A message of an agent arrived. */
    void onAgentMessage(Hello agent, Message message);

    /** The session of an agent is lost. */
    void onAgentClosed(Hello agent);

    /** Another entry opened a connection. */
    void onPeerOpened(Hello peer);

    /** A message of another entry arrived. */
    void onPeerMessage(Hello peer, Message message);
}
