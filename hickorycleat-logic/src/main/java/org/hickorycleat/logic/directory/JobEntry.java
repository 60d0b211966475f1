package org.hickorycleat.logic.directory;

import java.util.Optional;
import org.hickorycleat.model.job.JobId;
import org.hickorycleat.model.job.JobProgress;
import org.hickorycleat.model.job.JobState;
import org.hickorycleat.model.job.JobSubmission;

/** What an entry knows of one job. */
public final class JobEntry {
    private final JobId mId;
    private Optional<JobSubmission> mSubmission = Optional.empty();
    private Optional<JobProgress> mProgress = Optional.empty();
    private boolean mCancelled;
    private JobState mState = JobState.QUEUED;

    JobEntry(JobId id) {
        mId = id;
    }

    /** Returns the id. */
    public JobId id() {
        return mId;
    }

    /** Returns the job; empty when only later records of it are known. */
    public Optional<JobSubmission> submission() {
        return mSubmission;
    }

    /** Returns the durable progress that the log told. */
    public Optional<JobProgress> progress() {
        return mProgress;
    }

    /** Tells whether a cancellation is durable. */
    public boolean isCancelled() {
        return mCancelled;
    }

    /** Returns the newest state that is known to be durable. */
    public JobState state() {
        return mCancelled && !mState.isFinal() ? JobState.CANCELLED : mState;
    }

    void onSubmission(JobSubmission submission) {
        if (mSubmission.isEmpty()) {
            mSubmission = Optional.of(submission);
        }
    }

    void onProgress(JobProgress progress) {
        mProgress = Optional.of(progress);
        onState(progress.state());
    }

    void onCancelled() {
        mCancelled = true;
    }

    // News may come out of order; a job goes from queued to running to one final state.
    void onState(JobState state) {
        if (!mState.isFinal() && state != JobState.QUEUED) {
            mState = state;
        }
    }
}
