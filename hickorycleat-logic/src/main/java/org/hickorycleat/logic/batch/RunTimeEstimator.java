package org.hickorycleat.logic.batch;

import org.hickorycleat.model.task.Resources;
import org.hickorycleat.model.task.TaskSpecification;

/** Estimates the run times and resources of tasks. */
public interface RunTimeEstimator {
    /** Returns the declared values unchanged. */
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

    /** Returns the expected time of a whole run in milliseconds, at least 1. */
    long expectedMs(TaskSpecification task);

    /** Returns a run time in milliseconds that few runs exceed, at least the expected one. */
    long upperMs(TaskSpecification task);

    /** Returns the resources to keep free for a task, never less than it declares. */
    Resources size(TaskSpecification task);
}
