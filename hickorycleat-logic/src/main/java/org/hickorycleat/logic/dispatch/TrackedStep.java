package org.hickorycleat.logic.dispatch;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
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
    private final Map<TrackedWorker, Integer> mActiveTasks = new HashMap<>();
    private int mDoneTasks;
    private int mActiveTaskCount;

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
        return mDoneTasks == mTasks.size();
    }

    int unfinishedTasks() {
        return mTasks.size() - mDoneTasks;
    }

    /** Handles that a task of the step changes its status. */
    void onStatusChanged(TaskStatus before, TaskStatus after) {
        mDoneTasks += (after == TaskStatus.DONE ? 1 : 0) - (before == TaskStatus.DONE ? 1 : 0);
    }

    /** Handles that a task of the step may be on a worker from now on. */
    void onRunAdded(TrackedWorker worker) {
        mActiveTasks.merge(worker, 1, Integer::sum);
        mActiveTaskCount++;
    }

    /** Handles that a task of the step is no longer on a worker. */
    void onRunRemoved(TrackedWorker worker) {
        mActiveTasks.computeIfPresent(worker, (key, count) -> count > 1 ? count - 1 : null);
        mActiveTaskCount--;
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

    /** Returns the number of tasks of the step that may be on any worker. */
    int activeTasks() {
        return mActiveTaskCount;
    }

    /** Returns the number of active tasks whose room another task may get when they end. */
    int activeTasksOutsideEvacuation() {
        int evacuated = 0;
        for (Map.Entry<TrackedWorker, Integer> active : mActiveTasks.entrySet()) {
            evacuated += active.getKey().isEvacuated() ? active.getValue() : 0;
        }
        return mActiveTaskCount - evacuated;
    }

    boolean hasRuns() {
        return !mActiveTasks.isEmpty();
    }

    /** Returns whether tasks of the step may be on workers of more than one rack. */
    boolean spansRacks() {
        return mActiveTasks.keySet().stream().map(TrackedWorker::rack).distinct().count() > 1;
    }

    /** Returns the number of tasks of the step that may be on a worker. */
    int activeTasksOn(TrackedWorker worker) {
        return mActiveTasks.getOrDefault(worker, 0);
    }
}
