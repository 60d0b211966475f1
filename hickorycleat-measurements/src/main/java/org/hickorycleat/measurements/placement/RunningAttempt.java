package org.hickorycleat.measurements.placement;

import org.hickorycleat.logic.placement.PlacementView.PlacedTask;

/** A running attempt and its progress, which grows at the throttled speed. */
final class RunningAttempt {
    private final WorkloadTask mWorkloadTask;
    private final long mInitialProgressMs;
    private double mProgressMs;
    private long mProgressUpdatedMs;
    private PlacedTask mPlacedTask;

    RunningAttempt(WorkloadTask workloadTask, PlacedTask placedTask, long nowMs) {
        mWorkloadTask = workloadTask;
        mPlacedTask = placedTask;
        mInitialProgressMs = placedTask.progressMs();
        mProgressMs = mInitialProgressMs;
        mProgressUpdatedMs = nowMs;
    }

    WorkloadTask workloadTask() {
        return mWorkloadTask;
    }

    PlacedTask placedTask() {
        return mPlacedTask;
    }

    void update(PlacedTask placedTask, long nowMs) {
        mProgressMs = progressMs(nowMs);
        mProgressUpdatedMs = nowMs;
        mPlacedTask = placedTask;
    }

    double progressMs(long nowMs) {
        return mProgressMs + (nowMs - mProgressUpdatedMs) * speed();
    }

    long initialProgressMs() {
        return mInitialProgressMs;
    }

    long endMs() {
        return mWorkloadTask.runMs() == Long.MAX_VALUE
                ? Long.MAX_VALUE
                : mProgressUpdatedMs
                        + (long)
                                Math.ceil(
                                        Math.max(0, mWorkloadTask.runMs() - mProgressMs) / speed());
    }

    private double speed() {
        return mPlacedTask.throttlePermille() / 1_000.0;
    }
}
