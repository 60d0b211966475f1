package org.hickorycleat.measurements.placement;

import org.hickorycleat.logic.placement.PlacementView.PlacedTask;

/** A running attempt and the run time done so far; the speed follows the throttle. */
final class RunningAttempt {
    private final WorkloadTask mWork;
    private final long mSavedMs;
    private double mDoneMs;
    private long mSinceMs;
    private PlacedTask mTask;

    RunningAttempt(WorkloadTask work, PlacedTask task, long nowMs) {
        mWork = work;
        mTask = task;
        mSavedMs = task.progressMs();
        mDoneMs = mSavedMs;
        mSinceMs = nowMs;
    }

    WorkloadTask work() {
        return mWork;
    }

    PlacedTask task() {
        return mTask;
    }

    void change(PlacedTask task, long nowMs) {
        mDoneMs = doneMs(nowMs);
        mSinceMs = nowMs;
        mTask = task;
    }

    double doneMs(long nowMs) {
        return mDoneMs + (nowMs - mSinceMs) * speed();
    }

    long savedMs() {
        return mSavedMs;
    }

    long endMs() {
        return mWork.runMs() == Long.MAX_VALUE
                ? Long.MAX_VALUE
                : mSinceMs + (long) Math.ceil(Math.max(0, mWork.runMs() - mDoneMs) / speed());
    }

    private double speed() {
        return mTask.throttlePermille() / 1_000.0;
    }
}
