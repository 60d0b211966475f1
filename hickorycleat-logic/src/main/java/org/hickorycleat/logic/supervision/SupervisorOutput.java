package org.hickorycleat.logic.supervision;

import org.hickorycleat.model.message.Message;

/** Sends messages of a supervisor to the owner of the jobs. */
@FunctionalInterface
public interface SupervisorOutput {
    /** Sends a message over the link to the owner; discards it if there is no link. */
    void sendToOwner(Message message);
}
