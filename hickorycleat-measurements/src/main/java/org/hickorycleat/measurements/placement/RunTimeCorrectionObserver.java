package org.hickorycleat.measurements.placement;

import org.hickorycleat.logic.batch.RunTimeCorrection;
import org.hickorycleat.logic.placement.PlacementView.PlacedTask;
import org.hickorycleat.model.task.TaskState;

/** Observer that updates a run-time correction and ignores every other notification. */
final class RunTimeCorrectionObserver extends NoOpPlacementObserver {
    private final RunTimeCorrection mCorrection;

    RunTimeCorrectionObserver(RunTimeCorrection correction) {
        mCorrection = correction;
    }

    @Override
    public void onAttemptEnded(PlacedTask task, TaskState state, long nowMs) {
        if (state == TaskState.SUCCEEDED) {
            mCorrection.recordRun(
                    task.specification(), task.progressMs() + nowMs - task.startedMs());
        }
    }
}
