package org.hickorycleat.logic.lease;

import org.hickorycleat.model.identifier.ProcessId;
import org.hickorycleat.model.message.Message;
import org.hickorycleat.model.message.WorkerSummary;

/** Output of a lease manager; implementations must keep the order of calls over both methods. */
public interface LeaseManagerOutput {
    /** Sends a message to an owner; the message may be lost with the connection. */
    void send(ProcessId owner, Message message);

    /**
     * Publishes the state of the worker. If its incarnation has changed, an AgentReport must be
     * sent before any later message, so that the owner does not resend starts that were recorded
     * for the previous incarnation.
     */
    void publishWorker(WorkerSummary worker);
}
