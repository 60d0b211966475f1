package org.hickorycleat.logic.directory;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.hickorycleat.model.identifier.Epoch;
import org.hickorycleat.model.job.InterferenceEstimate;
import org.hickorycleat.model.job.JobId;
import org.hickorycleat.model.job.JobState;
import org.hickorycleat.model.job.JobStatus;
import org.hickorycleat.model.job.JobSubmission;
import org.hickorycleat.model.job.QueueName;
import org.hickorycleat.model.message.FleetNode;

/** Jobs that an entry knows, and the newest claim of an owner. */
public final class JobDirectory {
    private final Map<JobId, JobEntry> mJobs = new LinkedHashMap<>();
    private Optional<FleetNode> mOwner = Optional.empty();
    private Epoch mEpoch = new Epoch(-1);
    private List<InterferenceEstimate> mInterference = List.of();

    /** Takes a record of the log. */
    public synchronized void apply(JobRecord record) {
        if (record instanceof JobRecord.Submitted submitted) {
            onJobSubmitted(submitted.submission());
        } else if (record instanceof JobRecord.Cancelled cancelled) {
            onJobCancelled(cancelled.job());
        } else if (record instanceof JobRecord.Progressed progressed) {
            entry(progressed.progress().id()).onProgress(progressed.progress());
        } else if (record instanceof JobRecord.Claimed claimed) {
            onClaim(claimed);
        } else if (record instanceof JobRecord.InterferenceUpdate learnt) {
            mInterference = learnt.weights();
        }
    }

    private void onClaim(JobRecord.Claimed claimed) {
        if (claimed.epoch().compareTo(mEpoch) > 0) {
            mOwner = Optional.of(claimed.owner());
            mEpoch = claimed.epoch();
        }
    }

    /** Takes a job that is durable. */
    public synchronized void onJobSubmitted(JobSubmission submission) {
        entry(submission.id()).onSubmission(submission);
    }

    /** Takes a cancellation that is durable. */
    public synchronized void onJobCancelled(JobId job) {
        entry(job).onCancelled();
    }

    /** Takes a state that is durable. */
    public synchronized void onStatus(JobStatus status) {
        entry(status.id()).onState(status.state());
    }

    private JobEntry entry(JobId id) {
        return mJobs.computeIfAbsent(id, JobEntry::new);
    }

    /** Returns the entry that claimed the jobs last. */
    public synchronized Optional<FleetNode> owner() {
        return mOwner;
    }

    /** Returns the epoch of the last claim. */
    public synchronized Epoch epoch() {
        return mEpoch;
    }

    /** Returns what the last owner that told so had learnt of images. */
    public synchronized List<InterferenceEstimate> interferenceWeights() {
        return mInterference;
    }

    /** Returns the state of a job. */
    public synchronized Optional<JobState> state(JobId id) {
        return Optional.ofNullable(mJobs.get(id)).map(JobEntry::state);
    }

    /** Counts the jobs of a queue that have not begun. */
    public synchronized int waiting(QueueName queue) {
        int waiting = 0;
        for (JobEntry job : mJobs.values()) {
            boolean ofQueue =
                    job.submission().isPresent() && job.submission().get().queue().equals(queue);
            if (ofQueue && job.state() == JobState.QUEUED) {
                waiting++;
            }
        }
        return waiting;
    }

    /** Returns all jobs in the order in which they became known. */
    public synchronized List<JobEntry> jobs() {
        return new ArrayList<>(mJobs.values());
    }
}
