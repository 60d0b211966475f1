package org.hickorycleat.daemon.transport;

import org.hickorycleat.model.message.Message;

/** Receives the events of one connection, in order and one at a time. */
public interface MessageListener {
    /** The connection is open. */
    void onOpen(MessageConnection connection);

    /** A message arrived. */
    void onMessage(MessageConnection connection, Message message);

    /** The connection closed; nothing follows. */
    void onClose(MessageConnection connection);
}
