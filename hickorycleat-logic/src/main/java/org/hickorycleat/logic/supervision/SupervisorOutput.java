package org.hickorycleat.logic.supervision;

import org.hickorycleat.model.message.Message;

/** Sends messages of a supervisor to the owner of the jobs. */
@FunctionalInterface
public interface SupervisorOutput {
    /** Sends a message over the link to the owner; it is dropped when there is none. */
    void sendToOwner(Message message);
}
