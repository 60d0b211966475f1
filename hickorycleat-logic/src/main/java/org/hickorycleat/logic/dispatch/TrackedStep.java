package org.hickorycleat.logic.dispatch;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;
import org.hickorycleat.model.job.StepSpecification;
import org.hickorycleat.model.job.TaskKey;
import org.hickorycleat.model.job.TaskStatus;

/** Tracks the state of one step of one occurrence of a job. */
final class TrackedStep {
    private final TrackedJob mJob;
    private final int mOccurrence;
    private final int mNumber;
    private final StepSpecification mSpecification;
    private final List<TrackedTask> mTasks = new ArrayList<>();

    TrackedStep(TrackedJob job, int occurrence, int number, StepSpecification specification) {
        mJob = job;
        mOccurrence = occurrence;
        mNumber = number;
        mSpecification = specification;
        for (int i = 0; i < specification.count(); i++) {
            mTasks.add(new TrackedTask(new TaskKey(job.id(), occurrence, number, i), this));
        }
    }

    TrackedJob job() {
        return mJob;
    }

    int occurrence() {
        return mOccurrence;
    }

    int number() {
        return mNumber;
    }

    StepSpecification specification() {
        return mSpecification;
    }

    List<TrackedTask> tasks() {
        return mTasks;
    }

    boolean isDone() {
        for (TrackedTask task : mTasks) {
            if (task.status() != TaskStatus.DONE) {
                return false;
            }
        }
        return true;
    }

    /** Returns the numbers of the runs in which any task of the step failed. */
    Set<Integer> failedRuns() {
        Set<Integer> failed = new TreeSet<>();
        mTasks.forEach(task -> failed.addAll(task.failedRuns()));
        return failed;
    }

    /**
     * Sets the newest checkpoint of any gang member on all of them; checkpoints sort by progress.
     */
    void shareCheckpoint() {
        mTasks.stream()
                .map(TrackedTask::checkpoint)
                .flatMap(Optional::stream)
                .max(Comparator.naturalOrder())
                .ifPresent(newest -> mTasks.forEach(task -> task.onCheckpoint(newest)));
    }

    boolean hasRuns() {
        for (TrackedTask task : mTasks) {
            if (task.run().isPresent()) {
                return true;
            }
        }
        return false;
    }

    /** Returns the number of tasks of the step that may be on a worker. */
    int activeTasksOn(TrackedWorker worker) {
        int active = 0;
        for (TrackedTask task : mTasks) {
            if (task.run().isPresent() && task.run().get().worker() == worker) {
                active++;
            }
        }
        return active;
    }
}
