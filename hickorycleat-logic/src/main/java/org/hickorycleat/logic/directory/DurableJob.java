package org.hickorycleat.logic.directory;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import org.hickorycleat.model.job.JobId;
import org.hickorycleat.model.job.JobProgress;
import org.hickorycleat.model.job.JobState;
import org.hickorycleat.model.job.JobSubmission;
import org.hickorycleat.model.job.TaskKey;
import org.hickorycleat.model.job.TaskProgress;
import org.hickorycleat.model.job.TaskStatus;

/** Durable state of one job as known to an entry. */
public final class DurableJob {
    private final JobId mId;
    private Optional<JobSubmission> mSubmission = Optional.empty();
    private final Map<Integer, JobProgress> mProgressParts = new TreeMap<>();
    private boolean mCancelled;
    private JobState mState = JobState.QUEUED;

    DurableJob(JobId id) {
        mId = id;
    }

    public JobId id() {
        return mId;
    }

    /** Returns the submission; empty if only later records of the job are known. */
    public Optional<JobSubmission> submission() {
        return mSubmission;
    }

    /** Returns the newest progress from the log; empty if there is none. */
    public Optional<JobProgress> progress() {
        if (mProgressParts.isEmpty()) {
            return Optional.empty();
        }
        // A first part that an earlier version wrote has all tasks; the other parts are newer.
        Map<TaskKey, TaskProgress> tasks = new LinkedHashMap<>();
        for (JobProgress part : mProgressParts.values()) {
            for (TaskProgress task : part.tasks()) {
                tasks.put(new TaskKey(mId, task.occurrence(), task.step(), task.index()), task);
            }
        }
        return Optional.of(new JobProgress(mId, mState, List.copyOf(tasks.values())));
    }

    /**
     * Returns whether the log has a final state of the job and none of its tasks may be on a
     * worker.
     */
    boolean hasEnded() {
        JobProgress first = mProgressParts.get(0);
        return first != null
                && first.state().isFinal()
                && mProgressParts.values().stream()
                        .flatMap(part -> part.tasks().stream())
                        .noneMatch(task -> task.status() == TaskStatus.ACTIVE);
    }

    /** Returns whether the job was published with a final state, or the log has one. */
    boolean hasFinalState() {
        return mState.isFinal();
    }

    /** Returns whether the progress of all tasks fits into one part. */
    boolean hasOnePart() {
        return mSubmission.isEmpty()
                || mSubmission.get().taskCount() <= ProgressPartitioner.TASKS_PER_PART;
    }

    PastJob toPastJob(long nowMs) {
        int lastPart = mProgressParts.keySet().stream().mapToInt(part -> part).max().orElse(0);
        return new PastJob(mState, mSubmission.isPresent(), mCancelled, lastPart, nowMs);
    }

    /** Returns whether a cancellation of the job is durable. */
    public boolean isCancelled() {
        return mCancelled;
    }

    /**
     * Returns the newest state that is known to be durable. A job with a durable cancellation is
     * cancelled unless another final state is known.
     */
    public JobState state() {
        return mCancelled && !mState.isFinal() ? JobState.CANCELLED : mState;
    }

    void onSubmitted(JobSubmission submission) {
        if (mSubmission.isEmpty()) {
            mSubmission = Optional.of(submission);
        }
    }

    void onProgress(int part, JobProgress progress) {
        mProgressParts.put(part, progress);
        onStateChanged(progress.state());
    }

    void onCancelled() {
        mCancelled = true;
    }

    // Updates may arrive out of order; a job goes from queued to running to one final state.
    void onStateChanged(JobState state) {
        if (!mState.isFinal() && state != JobState.QUEUED) {
            mState = state;
        }
    }
}
