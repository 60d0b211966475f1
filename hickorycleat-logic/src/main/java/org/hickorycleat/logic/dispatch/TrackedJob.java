package org.hickorycleat.logic.dispatch;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.hickorycleat.model.job.JobId;
import org.hickorycleat.model.job.JobProgress;
import org.hickorycleat.model.job.JobQueue;
import org.hickorycleat.model.job.JobState;
import org.hickorycleat.model.job.JobStatus;
import org.hickorycleat.model.job.JobSubmission;
import org.hickorycleat.model.job.StepSpecification;
import org.hickorycleat.model.job.TaskKey;
import org.hickorycleat.model.job.TaskProgress;

/** Tracks the state of one job. */
final class TrackedJob {
    /** Time without any run after which a job counts as starved, in milliseconds. */
    private static final long STARVATION_TIMEOUT_MS = 1_500;

    private final JobSubmission mSubmission;
    private final List<List<TrackedStep>> mOccurrences = new ArrayList<>();
    private Optional<JobQueue> mQueue;
    private JobState mState = JobState.QUEUED;
    // Entries take a job for queued until another state is published.
    private JobState mPublishedState = JobState.QUEUED;
    private long mActiveAtMs;

    TrackedJob(JobSubmission submission, Optional<JobQueue> queue) {
        mSubmission = submission;
        mQueue = queue;
        for (int i = 0; i < submission.occurrences(); i++) {
            List<TrackedStep> steps = new ArrayList<>();
            for (StepSpecification step : submission.steps()) {
                steps.add(new TrackedStep(this, i, steps.size(), step));
            }
            mOccurrences.add(steps);
        }
    }

    JobId id() {
        return mSubmission.id();
    }

    JobSubmission submission() {
        return mSubmission;
    }

    /** Returns the settings of the queue; empty while they are not known. */
    Optional<JobQueue> queue() {
        return mQueue;
    }

    void onQueueChanged(JobQueue queue) {
        mQueue = Optional.of(queue);
    }

    JobState state() {
        return mState;
    }

    void onStateChanged(JobState state) {
        mState = state;
    }

    /** Returns whether the state differs from the published one, which it replaces. */
    boolean takeUnpublishedState() {
        boolean unpublished = mPublishedState != mState;
        mPublishedState = mState;
        return unpublished;
    }

    List<List<TrackedStep>> occurrences() {
        return mOccurrences;
    }

    Optional<TrackedTask> task(TaskKey key) {
        if (key.occurrence() >= mOccurrences.size()) {
            return Optional.empty();
        }
        List<TrackedStep> steps = mOccurrences.get(key.occurrence());
        if (key.step() >= steps.size() || key.index() >= steps.get(key.step()).tasks().size()) {
            return Optional.empty();
        }
        return Optional.of(steps.get(key.step()).tasks().get(key.index()));
    }

    /** Returns whether all predecessors of a step are done and its due time has passed. */
    boolean isDue(TrackedStep step, long unixMs) {
        Optional<Long> dueAtMs = mSubmission.dueAtMs(step.occurrence());
        if (dueAtMs.isPresent() && unixMs < dueAtMs.get()) {
            return false;
        }
        List<TrackedStep> steps = mOccurrences.get(step.occurrence());
        for (int predecessor : step.specification().predecessors()) {
            if (!steps.get(predecessor).isDone()) {
                return false;
            }
        }
        return true;
    }

    boolean isDone() {
        for (List<TrackedStep> steps : mOccurrences) {
            for (TrackedStep step : steps) {
                if (!step.isDone()) {
                    return false;
                }
            }
        }
        return true;
    }

    /** Returns whether a run of the job may be on a worker. */
    boolean hasRuns() {
        for (List<TrackedStep> steps : mOccurrences) {
            for (TrackedStep step : steps) {
                if (step.hasRuns()) {
                    return true;
                }
            }
        }
        return false;
    }

    /** Restarts the starvation timeout: the job has a run or was just submitted. */
    void markActive(long nowMs) {
        mActiveAtMs = nowMs;
    }

    /** Returns whether the job has had no run for longer than the starvation timeout. */
    boolean isStarved(long nowMs) {
        return nowMs - mActiveAtMs > STARVATION_TIMEOUT_MS;
    }

    List<TrackedTask> tasks() {
        List<TrackedTask> tasks = new ArrayList<>();
        for (List<TrackedStep> steps : mOccurrences) {
            for (TrackedStep step : steps) {
                tasks.addAll(step.tasks());
            }
        }
        return tasks;
    }

    JobProgress progress() {
        List<TaskProgress> progress = new ArrayList<>();
        for (TrackedTask task : tasks()) {
            task.progress().ifPresent(progress::add);
        }
        return new JobProgress(id(), mState, progress);
    }

    JobStatus status() {
        return new JobStatus(id(), mSubmission.queue(), mState, mSubmission.firstDueMs() != 0);
    }
}
