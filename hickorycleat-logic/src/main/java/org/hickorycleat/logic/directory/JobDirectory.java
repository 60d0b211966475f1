package org.hickorycleat.logic.directory;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.hickorycleat.model.identifier.Epoch;
import org.hickorycleat.model.job.InterferenceEstimate;
import org.hickorycleat.model.job.JobId;
import org.hickorycleat.model.job.JobQueue;
import org.hickorycleat.model.job.JobState;
import org.hickorycleat.model.job.JobStatus;
import org.hickorycleat.model.job.JobSubmission;
import org.hickorycleat.model.job.QueueName;
import org.hickorycleat.model.message.FleetNode;

/**
 * Keeps the durable state of all jobs known to an entry and of their queues, the latest ownership
 * claim and the interference weights. Built from the records of the job log and from messages of
 * peers.
 */
public final class JobDirectory {
    private final Map<JobId, DurableJob> mJobs = new LinkedHashMap<>();
    private final Map<QueueName, JobQueue> mQueues = new LinkedHashMap<>();
    private Optional<FleetNode> mOwner = Optional.empty();
    private Epoch mEpoch = new Epoch(-1);
    private List<InterferenceEstimate> mInterferenceWeights = List.of();

    /** Applies a record of the job log. */
    public synchronized void apply(JobRecord record) {
        if (record instanceof JobRecord.Submitted submitted) {
            onJobSubmitted(submitted.submission());
        } else if (record instanceof JobRecord.QueueAccepting accepting) {
            mQueues.put(accepting.queue().name(), accepting.queue());
        } else if (record instanceof JobRecord.Cancelled cancelled) {
            onJobCancelled(cancelled.job());
        } else if (record instanceof JobRecord.Progressed progressed) {
            getOrCreate(progressed.progress().id()).onProgress(0, progressed.progress());
        } else if (record instanceof JobRecord.ProgressedPart part) {
            getOrCreate(part.progress().id()).onProgress(part.part(), part.progress());
        } else if (record instanceof JobRecord.Claimed claimed) {
            onOwnershipClaimed(claimed);
        } else if (record instanceof JobRecord.InterferenceUpdate update) {
            mInterferenceWeights = update.weights();
        }
    }

    private void onOwnershipClaimed(JobRecord.Claimed claimed) {
        if (claimed.epoch().compareTo(mEpoch) > 0) {
            mOwner = Optional.of(claimed.owner());
            mEpoch = claimed.epoch();
        }
    }

    /** Handles the submission of a job that is durable. */
    public synchronized void onJobSubmitted(JobSubmission submission) {
        getOrCreate(submission.id()).onSubmitted(submission);
    }

    /** Handles the cancellation of a job that is durable. */
    public synchronized void onJobCancelled(JobId job) {
        getOrCreate(job).onCancelled();
    }

    /** Handles a durable state of a job that an entry published. */
    public synchronized void onJobStateChanged(JobStatus status) {
        getOrCreate(status.id()).onStateChanged(status.state());
    }

    private DurableJob getOrCreate(JobId id) {
        return mJobs.computeIfAbsent(id, DurableJob::new);
    }

    /** Returns the entry with the highest ownership claim; empty before the first claim. */
    public synchronized Optional<FleetNode> owner() {
        return mOwner;
    }

    /** Returns the epoch of the highest ownership claim; -1 before the first claim. */
    public synchronized Epoch epoch() {
        return mEpoch;
    }

    /** Returns the interference weights that an owner saved last; empty if none did. */
    public synchronized List<InterferenceEstimate> interferenceWeights() {
        return mInterferenceWeights;
    }

    /** Returns the durable settings of a queue; empty if no job was accepted under them. */
    public synchronized Optional<JobQueue> queue(QueueName name) {
        return Optional.ofNullable(mQueues.get(name));
    }

    /** Returns the durable settings of all queues under which jobs were accepted. */
    public synchronized List<JobQueue> queues() {
        return new ArrayList<>(mQueues.values());
    }

    /** Returns the newest known state of a job; empty if the job is unknown. */
    public synchronized Optional<JobState> jobState(JobId id) {
        return Optional.ofNullable(mJobs.get(id)).map(DurableJob::state);
    }

    /** Returns the submission of a job; empty if it is unknown. */
    public synchronized Optional<JobSubmission> submission(JobId id) {
        return Optional.ofNullable(mJobs.get(id)).flatMap(DurableJob::submission);
    }

    /** Returns the number of jobs of a queue that have not started. */
    public synchronized int waitingJobCount(QueueName queue) {
        int waiting = 0;
        for (DurableJob job : mJobs.values()) {
            boolean inQueue =
                    job.submission().isPresent() && job.submission().get().queue().equals(queue);
            if (inQueue && job.state() == JobState.QUEUED) {
                waiting++;
            }
        }
        return waiting;
    }

    /** Returns all jobs in the order in which they became known to this entry. */
    public synchronized List<DurableJob> jobs() {
        return new ArrayList<>(mJobs.values());
    }
}
