package org.hickorycleat.logic.directory;

import java.util.List;
import org.hickorycleat.model.identifier.Epoch;
import org.hickorycleat.model.job.InterferenceEstimate;
import org.hickorycleat.model.job.JobId;
import org.hickorycleat.model.job.JobProgress;
import org.hickorycleat.model.job.JobQueue;
import org.hickorycleat.model.job.JobSubmission;
import org.hickorycleat.model.message.FleetNode;

/** A record of the job log. */
public sealed interface JobRecord {
    /** Submission of a job that an entry accepted. */
    record Submitted(JobSubmission submission) implements JobRecord {}

    /** Settings of a queue under which an entry accepted jobs; the newest record is valid. */
    record QueueAccepting(JobQueue queue) implements JobRecord {}

    /** Cancellation of a job that an entry accepted. */
    record Cancelled(JobId job) implements JobRecord {}

    /** First part of the progress of a job, written by the owner. */
    record Progressed(JobProgress progress) implements JobRecord {}

    /**
     * Further part of the progress of a job with many tasks, written by the owner.
     *
     * @param part number of the part; the first part has number 0
     */
    record ProgressedPart(int part, JobProgress progress) implements JobRecord {}

    /**
     * Removal of a record of a past job, written by the owner. With the removal of its first part
     * of progress, the job is forgotten.
     *
     * @param part number of the part of its progress; otherwise 0
     */
    record Removed(Kind kind, JobId job, int part) implements JobRecord {}

    /** Kinds of records that are removed. */
    enum Kind {
        /** Submission. */
        SUBMISSION,
        /** Cancellation. */
        CANCELLATION,
        /** First part of the progress, with the state of the job. */
        PROGRESS,
        /** Further part of the progress. */
        PROGRESS_PART
    }

    /** Ownership claim of an entry; the claim with the highest epoch is valid. */
    record Claimed(FleetNode owner, Epoch epoch) implements JobRecord {}

    /** Interference weights estimated by an owner; the newest record replaces earlier ones. */
    record InterferenceUpdate(List<InterferenceEstimate> weights) implements JobRecord {
        /** Copies the list. */
        public InterferenceUpdate {
            weights = List.copyOf(weights);
        }
    }
}
