package org.hickorycleat.logic.directory;

import java.util.List;
import org.hickorycleat.model.identifier.Epoch;
import org.hickorycleat.model.job.InterferenceEstimate;
import org.hickorycleat.model.job.JobId;
import org.hickorycleat.model.job.JobProgress;
import org.hickorycleat.model.job.JobSubmission;
import org.hickorycleat.model.message.FleetNode;

/** A record of the log of jobs. */
public sealed interface JobRecord {
    /** A job that an entry took. */
    record Submitted(JobSubmission submission) implements JobRecord {}

    /** A cancellation that an entry took. */
    record Cancelled(JobId job) implements JobRecord {}

    /** Progress that the owner made durable. */
    record Progressed(JobProgress progress) implements JobRecord {}

    /** An entry became the owner; the highest epoch counts. */
    record Claimed(FleetNode owner, Epoch epoch) implements JobRecord {}

    /** What an owner has learnt of images; the newest counts. */
    record InterferenceUpdate(List<InterferenceEstimate> weights) implements JobRecord {
        /** Copies the list. */
        public InterferenceUpdate {
            weights = List.copyOf(weights);
        }
    }
}
