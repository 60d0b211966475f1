package org.hickorycleat.logic.dispatch;

import java.util.List;
import org.hickorycleat.model.identifier.ProcessId;
import org.hickorycleat.model.job.InterferenceEstimate;
import org.hickorycleat.model.job.JobId;
import org.hickorycleat.model.job.JobProgress;
import org.hickorycleat.model.job.JobStatus;
import org.hickorycleat.model.job.QueueBacklog;
import org.hickorycleat.model.message.Message;

/** Connects a dispatcher to the links and the store of its process. */
public interface DispatchOutput {
    /**
     * Sends a message to an agent.
     *
     * @return false if there is no link to the agent; the message is then never sent
     */
    boolean send(ProcessId agent, Message message);

    /**
     * Persists the progress of jobs and then runs {@code onDurable}. Only one call is in flight at
     * a time.
     */
    void persistProgress(List<JobProgress> progress, Runnable onDurable);

    /** Returns whether a final state of a job is durable, so that the job must not start. */
    boolean isPast(JobId job);

    /** Publishes the durable states of jobs to all entries. */
    void publishJobStates(List<JobStatus> states);

    /** Publishes the backlogs of the queues to all entries. Losing a copy is harmless. */
    void publishBacklogs(List<QueueBacklog> backlogs);

    /**
     * Returns whether this process may extend leases: no other process can have become the owner.
     */
    boolean mayExtendLeases();

    /** Saves interference weights for the next owner. Losing a copy is harmless. */
    void saveInterferenceWeights(List<InterferenceEstimate> weights);
}
