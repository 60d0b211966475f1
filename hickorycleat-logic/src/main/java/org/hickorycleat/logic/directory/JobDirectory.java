package org.hickorycleat.logic.directory;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.LongSupplier;
import org.hickorycleat.model.identifier.Epoch;
import org.hickorycleat.model.job.InterferenceEstimate;
import org.hickorycleat.model.job.JobId;
import org.hickorycleat.model.job.JobProgress;
import org.hickorycleat.model.job.JobQueue;
import org.hickorycleat.model.job.JobState;
import org.hickorycleat.model.job.JobStatus;
import org.hickorycleat.model.job.JobSubmission;
import org.hickorycleat.model.job.QueueName;
import org.hickorycleat.model.message.FleetNode;

/**
 * Keeps the durable state of all jobs known to an entry and of their queues, the latest ownership
 * claim and the interference weights. Built from the records of the job log and from messages of
 * peers. Of a past job, only its final state is kept, until the owner removes it from the log.
 */
public final class JobDirectory {
    private final Map<JobId, DurableJob> mJobs = new LinkedHashMap<>();
    private final PastJobs mPastJobs = new PastJobs();
    // Final jobs of which a part of the progress may not be loaded yet, or may be on a worker.
    private final Set<JobId> mEndingJobs = new HashSet<>();
    private final Set<JobId> mUnseenJobs = new HashSet<>();
    private final LongSupplier mSteadyClockMs;
    private final Map<QueueName, JobQueue> mQueues = new LinkedHashMap<>();
    private Optional<FleetNode> mOwner = Optional.empty();
    private Epoch mEpoch = new Epoch(-1);
    private List<InterferenceEstimate> mInterferenceWeights = List.of();

    /**
     * Creates an empty directory.
     *
     * @param steadyClockMs clock that wall clock changes do not affect, in milliseconds
     */
    public JobDirectory(LongSupplier steadyClockMs) {
        mSteadyClockMs = steadyClockMs;
    }

    /** Applies a record of the job log. */
    public synchronized void apply(JobRecord record) {
        if (record instanceof JobRecord.Submitted submitted) {
            mUnseenJobs.remove(submitted.submission().id());
            mPastJobs.onSubmission(submitted.submission().id(), true, mSteadyClockMs.getAsLong());
            onJobSubmitted(submitted.submission());
        } else if (record instanceof JobRecord.Removed removed) {
            onRemoved(removed);
        } else if (record instanceof JobRecord.QueueAccepting accepting) {
            mQueues.put(accepting.queue().name(), accepting.queue());
        } else if (record instanceof JobRecord.Cancelled cancelled) {
            onJobCancelled(cancelled.job());
        } else if (record instanceof JobRecord.Progressed progressed) {
            onProgress(0, progressed.progress());
        } else if (record instanceof JobRecord.ProgressedPart part) {
            onProgress(part.part(), part.progress());
        } else if (record instanceof JobRecord.Claimed claimed) {
            onOwnershipClaimed(claimed);
        } else if (record instanceof JobRecord.InterferenceUpdate update) {
            mInterferenceWeights = update.weights();
        }
    }

    private void onProgress(int part, JobProgress progress) {
        JobId id = progress.id();
        mUnseenJobs.remove(id);
        if (mPastJobs.find(id).isPresent()) {
            mPastJobs.update(id, job -> job.withPart(part));
            return;
        }
        DurableJob job = getOrCreate(id);
        job.onProgress(part, progress);
        if (job.hasEnded() && job.hasOnePart()) {
            end(job);
        } else if (job.state().isFinal()) {
            mEndingJobs.add(id);
        }
    }

    private void end(DurableJob job) {
        mJobs.remove(job.id());
        mEndingJobs.remove(job.id());
        mPastJobs.add(job.id(), job.toPastJob(mSteadyClockMs.getAsLong()));
    }

    private void onRemoved(JobRecord.Removed removed) {
        JobId id = removed.job();
        if (removed.kind() == JobRecord.Kind.SUBMISSION) {
            // The owner removes the submission only after all records of the end were read.
            Optional.ofNullable(mJobs.get(id)).ifPresent(this::end);
            mPastJobs.onSubmission(id, false, mSteadyClockMs.getAsLong());
        } else if (removed.kind() == JobRecord.Kind.PROGRESS) {
            forget(id);
        }
    }

    private void forget(JobId id) {
        mJobs.remove(id);
        mEndingJobs.remove(id);
        mPastJobs.remove(id);
    }

    /** Reduces the final jobs of several parts to their states; called once the log is loaded. */
    public synchronized void endFinalJobs() {
        for (JobId id : List.copyOf(mEndingJobs)) {
            DurableJob job = mJobs.get(id);
            if (job == null) {
                mEndingJobs.remove(id);
            } else if (job.hasEnded()) {
                end(job);
            }
        }
    }

    /** Handles that the newest records of the log are read again because some were missed. */
    public synchronized void onReloadStarted() {
        mUnseenJobs.clear();
        mUnseenJobs.addAll(mJobs.keySet());
        mUnseenJobs.addAll(mPastJobs.retainedIds());
        mUnseenJobs.addAll(mPastJobs.tombstoneIds());
    }

    /** Handles that all of them were read: other jobs have been removed meanwhile. */
    public synchronized void onReloaded() {
        mUnseenJobs.forEach(this::forget);
        mUnseenJobs.clear();
    }

    private void onOwnershipClaimed(JobRecord.Claimed claimed) {
        if (claimed.epoch().compareTo(mEpoch) > 0) {
            mOwner = Optional.of(claimed.owner());
            mEpoch = claimed.epoch();
        }
    }

    /** Handles the submission of a job that is durable. */
    public synchronized void onJobSubmitted(JobSubmission submission) {
        if (mPastJobs.find(submission.id()).isEmpty()) {
            getOrCreate(submission.id()).onSubmitted(submission);
        }
    }

    /** Handles the cancellation of a job that is durable. */
    public synchronized void onJobCancelled(JobId job) {
        if (mPastJobs.find(job).isPresent()) {
            mPastJobs.update(job, PastJob::withCancellation);
        } else {
            getOrCreate(job).onCancelled();
        }
    }

    /** Handles a durable state of a job that an entry published. */
    public synchronized void onJobStateChanged(JobStatus status) {
        if (mPastJobs.find(status.id()).isEmpty()) {
            getOrCreate(status.id()).onStateChanged(status.state());
        }
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
        DurableJob job = mJobs.get(id);
        return job != null ? Optional.of(job.state()) : mPastJobs.find(id).map(PastJob::state);
    }

    /** Returns whether a job is known to have ended durably, so that it must not start again. */
    public synchronized boolean isPast(JobId id) {
        DurableJob job = mJobs.get(id);
        return job != null ? job.hasFinalState() : mPastJobs.find(id).isPresent();
    }

    /** Returns the number of jobs that are not past. */
    public synchronized int jobCount() {
        return mJobs.size();
    }

    /** Returns the number of jobs of which only the final state is kept. */
    public synchronized int pastJobCount() {
        return mPastJobs.size();
    }

    /** Returns the number of jobs of which the store has the final state alone. */
    public synchronized int tombstoneCount() {
        return mPastJobs.tombstones();
    }

    /** Returns the past jobs whose records are due for removal, oldest first. */
    synchronized List<Map.Entry<JobId, PastJob>> removable(
            long nowMs, long retentionMs, int maximum) {
        List<Map.Entry<JobId, PastJob>> due =
                new ArrayList<>(
                        mPastJobs.tombstonesSince(nowMs - PastJobRemover.TOMBSTONE_MS, maximum));
        due.addAll(
                mPastJobs.retainedSince(
                        nowMs - retentionMs - PastJobRemover.LATE_REQUEST_MS,
                        maximum - due.size()));
        return due;
    }

    /** Returns whether a past job is as it was when it became due for removal. */
    synchronized boolean isUnchanged(JobId id, PastJob job) {
        return mPastJobs.find(id).equals(Optional.of(job));
    }

    /** Returns the submission of a job; empty if it is unknown or past. */
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

    /** Returns the jobs that are not past, in the order in which this entry learned of them. */
    public synchronized List<DurableJob> jobs() {
        return new ArrayList<>(mJobs.values());
    }
}
