package org.hickorycleat.logic.batch;

import org.hickorycleat.model.task.Resources;
import org.hickorycleat.model.task.TaskSpecification;

/** Estimates run times and sizes of tasks. */
public interface RunTimeEstimator {
    /** Takes the declared values as they are. */
    RunTimeEstimator DECLARED =
            new RunTimeEstimator() {
                @Override
                public long expectedMs(TaskSpecification task) {
                    return Math.max(1, task.estimatedMs());
                }

                @Override
                public long upperMs(TaskSpecification task) {
                    return Math.max(1, task.estimatedMs());
                }

                @Override
                public Resources size(TaskSpecification task) {
                    return task.resources();
                }
            };

    /** Returns the run time to expect of a whole run, at least 1. */
    long expectedMs(TaskSpecification task);

    /** Returns a run time that few runs exceed, at least the expected one. */
    long upperMs(TaskSpecification task);

    /** Returns the room to leave for a task, never less than it declares. */
    Resources size(TaskSpecification task);
}
