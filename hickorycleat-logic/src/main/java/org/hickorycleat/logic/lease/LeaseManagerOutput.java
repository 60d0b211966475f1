package org.hickorycleat.logic.lease;

import org.hickorycleat.model.identifier.ProcessId;
import org.hickorycleat.model.message.Message;
import org.hickorycleat.model.message.WorkerSummary;

/** What a lease keeper wants sent; both methods must keep the order of the calls. */
public interface LeaseManagerOutput {
    /** Sends a message to an owner; it may be lost with the connection. */
    void send(ProcessId owner, Message message);

    /**
     * Publishes the state of the worker. When its incarnation has changed, an AgentReport must be
     * sent before anything that is sent later: the owner then starts nothing that was recorded for
     * the previous incarnation.
     */
    void publishWorker(WorkerSummary worker);
}
