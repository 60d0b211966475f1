package org.hickorycleat.logic.dispatch;

import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;
import org.hickorycleat.model.identifier.ProcessId;
import org.hickorycleat.model.job.StepSpecification;
import org.hickorycleat.model.job.TaskKey;
import org.hickorycleat.model.job.TaskProgress;
import org.hickorycleat.model.job.TaskStatus;
import org.hickorycleat.model.job.TaskTraits;
import org.jspecify.annotations.Nullable;

/** Tracks the state of one task. */
final class TrackedTask {
    private final TaskKey mKey;
    private final TrackedStep mStep;
    private final Set<ProcessId> mFailedOn = new HashSet<>();
    private TaskStatus mStatus = TaskStatus.PENDING;
    private int mRunNumber;
    private int mPreviousRunNumber;
    private final Set<Integer> mFailedRuns = new TreeSet<>();
    private Optional<String> mCheckpoint = Optional.empty();
    private @Nullable TrackedRun mRun;
    private long mNotBeforeMs = Long.MIN_VALUE;
    private int mStalledRuns;

    TrackedTask(TaskKey key, TrackedStep step) {
        mKey = key;
        mStep = step;
    }

    TaskKey key() {
        return mKey;
    }

    TrackedStep step() {
        return mStep;
    }

    StepSpecification specification() {
        return mStep.specification();
    }

    TaskStatus status() {
        return mStatus;
    }

    /** Returns the number of failed runs of the task, or of its whole gang. */
    int failedRunCount() {
        return specification().gang() ? mStep.failedRuns().size() : mFailedRuns.size();
    }

    Set<Integer> failedRuns() {
        return mFailedRuns;
    }

    Optional<String> checkpoint() {
        return mCheckpoint;
    }

    Optional<TrackedRun> run() {
        return Optional.ofNullable(mRun);
    }

    boolean hasFailedOn(ProcessId agent) {
        return mFailedOn.contains(agent);
    }

    boolean isReady(long nowMs) {
        return mStatus == TaskStatus.PENDING && nowMs >= mNotBeforeMs;
    }

    private void setStatus(TaskStatus status) {
        mStep.onStatusChanged(mStatus, status);
        mStatus = status;
    }

    private void setRun(@Nullable TrackedRun run) {
        if (mRun != null) {
            mStep.onRunRemoved(mRun.worker());
        }
        if (run != null) {
            mStep.onRunAdded(run.worker());
        }
        mRun = run;
    }

    /** Restores the durable progress. */
    void restore(TaskProgress progress) {
        setStatus(progress.status());
        mRunNumber = progress.run();
        mFailedRuns.addAll(progress.failedRuns());
        mCheckpoint = progress.checkpoint();
    }

    /** Returns the number of the next run. */
    int nextRunNumber() {
        return mRunNumber + 1;
    }

    /** Records the current run, which may be on a worker from now on. */
    void onRunAssigned(TrackedRun run) {
        setStatus(TaskStatus.ACTIVE);
        mPreviousRunNumber = mRunNumber;
        mRunNumber = run.id().number();
        setRun(run);
    }

    /** Cancels a reserved run whose start was not persisted; its number is free again. */
    void onReservationCancelled() {
        setStatus(TaskStatus.PENDING);
        setRun(null);
        mRunNumber = mPreviousRunNumber;
    }

    /** Records the newest checkpoint. */
    void onCheckpoint(String checkpoint) {
        if (!checkpoint.isEmpty()) {
            mCheckpoint = Optional.of(checkpoint);
        }
    }

    /** Marks the task for another run, not before the given time. */
    void onPending(long notBeforeMs) {
        setStatus(TaskStatus.PENDING);
        setRun(null);
        mNotBeforeMs = notBeforeMs;
    }

    /** Records a failed run; an end that is listed again to the next owner counts only once. */
    void onFailure(int run, ProcessId agent) {
        mFailedOn.add(agent);
        if (!specification().longRunning()) {
            mFailedRuns.add(run);
        }
    }

    /** Records that a run was stopped because it counted as stalled. */
    void onStalled() {
        mStalledRuns++;
    }

    /** Returns the number of runs that this owner has stopped as stalled. */
    int stalledRuns() {
        return mStalledRuns;
    }

    /** Marks the task as done. */
    void onDone() {
        setStatus(TaskStatus.DONE);
        setRun(null);
        mCheckpoint = Optional.empty();
    }

    /** Returns the progress to persist; empty before the first run. */
    Optional<TaskProgress> progress() {
        if (mRunNumber == 0) {
            return Optional.empty();
        }
        return Optional.of(
                new TaskProgress(
                        mKey.occurrence(),
                        mKey.step(),
                        mKey.index(),
                        mStatus,
                        mRunNumber,
                        List.copyOf(mFailedRuns),
                        run().map(run -> run.worker().agent()),
                        run().map(TrackedRun::incarnation),
                        mCheckpoint));
    }

    TaskTraits traits() {
        StepSpecification step = specification();
        return new TaskTraits(
                step.image(),
                step.bestEffort(),
                step.targetLatencyMs(),
                step.resources().processorsMilli());
    }
}
