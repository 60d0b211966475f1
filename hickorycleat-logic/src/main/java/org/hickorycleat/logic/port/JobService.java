package org.hickorycleat.logic.port;

import io.reactivex.rxjava3.core.Single;
import java.util.Optional;
import org.hickorycleat.model.job.JobId;
import org.hickorycleat.model.job.JobQueue;
import org.hickorycleat.model.job.JobSubmission;
import org.hickorycleat.model.job.WorkloadConfiguration;

/** Job operations that an entry offers to callers. */
public interface JobService {
    /** Returns the active configuration. */
    Optional<WorkloadConfiguration> configuration();

    /**
     * Stores a job durably, unless it could not complete while that still has value.
     *
     * @param timeLimitMs how long the caller waits, in milliseconds
     */
    Single<SubmissionResult> submit(JobQueue queue, JobSubmission submission, int timeLimitMs);

    /** Returns the state of a job. */
    Single<JobStateResult> jobState(JobQueue queue, JobId job);

    /** Cancels a job. */
    Single<JobChangeResult> cancel(JobQueue queue, JobId job, int timeLimitMs);

    /** Returns the number of accepted jobs in the queue that have not started. */
    int waitingJobCount(JobQueue queue);
}
