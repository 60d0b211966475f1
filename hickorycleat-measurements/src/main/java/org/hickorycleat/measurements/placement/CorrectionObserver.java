package org.hickorycleat.measurements.placement;

import org.hickorycleat.logic.batch.RunTimeCorrection;
import org.hickorycleat.logic.placement.PlacementView.PlacedTask;
import org.hickorycleat.model.task.TaskState;

/** Observer that corrects run times and learns nothing else. */
final class CorrectionObserver extends IgnoringObserver {
    private final RunTimeCorrection mCorrection;

    CorrectionObserver(RunTimeCorrection correction) {
        mCorrection = correction;
    }

    @Override
    public void ended(PlacedTask task, TaskState state, long nowMs) {
        if (state == TaskState.SUCCEEDED) {
            mCorrection.runEnded(
                    task.specification(), task.progressMs() + nowMs - task.startedMs());
        }
    }
}
