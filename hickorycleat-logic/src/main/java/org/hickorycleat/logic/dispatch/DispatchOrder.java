package org.hickorycleat.logic.dispatch;

import java.util.Comparator;
import org.hickorycleat.model.job.StepSpecification;

/** Order in which tasks are placed: serving tasks, then by priority and objective. */
final class DispatchOrder {
    /** Places work that only fills behind all other work. */
    private static final int FILL_RANK = 1_000;

    static final Comparator<TaskTrack> COMPARATOR =
            Comparator.<TaskTrack>comparingInt(DispatchOrder::rank)
                    .thenComparingLong(DispatchOrder::objectiveAtMs);

    private DispatchOrder() {}

    private static int rank(TaskTrack task) {
        StepSpecification step = task.specification();
        if (step.perpetual()) {
            return -1;
        }
        return task.step().job().queue().priority() + (step.fills() ? FILL_RANK : 0);
    }

    private static long objectiveAtMs(TaskTrack task) {
        JobTrack job = task.step().job();
        long dueAtMs =
                job.submission()
                        .dueAtMs(task.key().occurrence())
                        .orElse(job.submission().acceptedAtMs());
        return dueAtMs + job.queue().targetDurationMs();
    }
}
