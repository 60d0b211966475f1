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

/** State of one job. */
final class TrackedJob {
    /** A job without any run for this long is starved, in milliseconds. */
    private static final long STARVED_LIMIT_MS = 1_500;

    private final JobSubmission mSubmission;
    private final List<List<TrackedStep>> mOccurrences = new ArrayList<>();
    private JobQueue mQueue;
    private JobState mState = JobState.QUEUED;
    private long mActiveAtMs;

    TrackedJob(JobSubmission submission, JobQueue queue) {
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

    JobQueue queue() {
        return mQueue;
    }

    void onQueue(JobQueue queue) {
        mQueue = queue;
    }

    JobState state() {
        return mState;
    }

    void onState(JobState state) {
        mState = state;
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

    /** Tells whether the steps before a step are done and its time has come. */
    boolean isDue(TrackedStep step, long unixMs) {
        Optional<Long> dueAtMs = mSubmission.dueAtMs(step.occurrence());
        if (dueAtMs.isPresent() && unixMs < dueAtMs.get()) {
            return false;
        }
        List<TrackedStep> steps = mOccurrences.get(step.occurrence());
        for (int earlier : step.specification().predecessors()) {
            if (!steps.get(earlier).isDone()) {
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

    /** Tells whether a run of the job may be on a worker. */
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

    /** The job has a run, or has just come. */
    void onActive(long nowMs) {
        mActiveAtMs = nowMs;
    }

    /** Tells whether the job has stood still for long. */
    boolean isStarved(long nowMs) {
        return nowMs - mActiveAtMs > STARVED_LIMIT_MS;
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
