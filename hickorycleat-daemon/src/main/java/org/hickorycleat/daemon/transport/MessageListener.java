package org.hickorycleat.daemon.transport;

import org.hickorycleat.model.message.Message;

/** Handles the events of one connection, in order and one at a time. */
public interface MessageListener {
    /** Handles the opening of the connection. */
    void onOpen(MessageConnection connection);

    /** Handles a message that arrived. */
    void onMessage(MessageConnection connection, Message message);

    /** Handles the closing of the connection; no event follows. */
    void onClose(MessageConnection connection);
}
