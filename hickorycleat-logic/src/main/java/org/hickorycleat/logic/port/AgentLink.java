package org.hickorycleat.logic.port;

import org.hickorycleat.model.identifier.ProcessId;
import org.hickorycleat.model.message.Message;

/** Sends messages over the current connection to an agent. */
@FunctionalInterface
public interface AgentLink {
    /**
     * Queues a message on the connection.
     *
     * @return false when there is no connection or its queue is full; the message was then not sent
     */
    boolean send(ProcessId agent, Message message);
}
