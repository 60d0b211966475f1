package org.hickorycleat.logic.directory;

import java.util.Optional;
import org.hickorycleat.model.job.JobId;
import org.hickorycleat.model.job.JobProgress;
import org.hickorycleat.model.job.JobState;
import org.hickorycleat.model.job.JobSubmission;

/** Durable state of one job as known to an entry. */
public final class DurableJob {
    private final JobId mId;
    private Optional<JobSubmission> mSubmission = Optional.empty();
    private Optional<JobProgress> mProgress = Optional.empty();
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
        return mProgress;
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

    void onProgress(JobProgress progress) {
        mProgress = Optional.of(progress);
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
