package org.hickorycleat.logic.dispatch;

import java.util.List;
import org.hickorycleat.model.identifier.ProcessId;
import org.hickorycleat.model.job.InterferenceEstimate;
import org.hickorycleat.model.job.JobProgress;
import org.hickorycleat.model.job.JobStatus;
import org.hickorycleat.model.message.Message;

/** What a dispatcher asks of its process. */
public interface DispatchOutput {
    /**
     * Sends a message to an agent.
     *
     * @return false when there is no link; the message is then never sent
     */
    boolean send(ProcessId agent, Message message);

    /** Makes the progress of jobs durable; one call at a time, until {@code durable} has run. */
    void persistProgress(List<JobProgress> progress, Runnable durable);

    /** Tells all entries the durable states of jobs. */
    void publishJobStates(List<JobStatus> states);

    /** Tells whether this process may still be the only owner. */
    boolean mayExtendLeases();

    /** Keeps what was learnt of images for a successor; a copy that is lost does no harm. */
    void saveInterferenceWeights(List<InterferenceEstimate> weights);
}
