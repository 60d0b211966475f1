package org.hickorycleat.daemon.transport;

import org.hickorycleat.model.message.Message;

/** A connection that carries messages in both directions. */
public interface MessageConnection {
    /**
     * Queues a message for sending.
     *
     * @return false if the connection is closed, its queue is full or the message exceeds the
     *     maximum frame size; the message is then never sent
     */
    boolean send(Message message);

    /**
     * Queues a message for sending.
     *
     * @param onDequeued runs once the message has left the queue or the connection is closed; never
     *     runs if this method returns false
     * @return false under the same conditions as {@link #send(Message)}
     */
    boolean send(Message message, Runnable onDequeued);

    /** Sends a last message, then closes the connection. */
    void sendAndClose(Message message);

    /** Closes the connection. */
    void close();

    /** Returns the address of the peer. */
    String remoteAddress();
}
