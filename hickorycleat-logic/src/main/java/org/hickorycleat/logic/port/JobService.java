package org.hickorycleat.logic.port;

import io.reactivex.rxjava3.core.Single;
import java.util.Optional;
import org.hickorycleat.model.job.JobId;
import org.hickorycleat.model.job.JobQueue;
import org.hickorycleat.model.job.JobSubmission;
import org.hickorycleat.model.job.WorkloadConfiguration;

/** What callers ask of an entry. */
public interface JobService {
    /** Returns the configuration in force. */
    Optional<WorkloadConfiguration> configuration();

    /**
     * Makes a job durable.
     *
     * @param timeLimitMs how long the caller waits, in milliseconds
     */
    Single<JobChangeResult> submit(JobQueue queue, JobSubmission submission, int timeLimitMs);

    /** Returns the state of a job. */
    Single<JobStateResult> jobState(JobQueue queue, JobId job);

    /** Cancels a job. */
    Single<JobChangeResult> cancel(JobQueue queue, JobId job, int timeLimitMs);

    /** Returns how many accepted jobs of the queue have not begun. */
    int waitingJobCount(JobQueue queue);
}
