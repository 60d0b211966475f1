package org.hickorycleat.logic.batch;

import org.hickorycleat.model.identifier.JobName;
import org.hickorycleat.model.task.TaskSpecification;

/** Tells which job a task is a run of; what is learned about one run applies to the next. */
@FunctionalInterface
public interface JobNaming {
    /**
     * Takes the text of the task id before its last slash, or all of it, as the name of the job.
     */
    JobNaming BEFORE_LAST_SLASH =
            task -> {
                String text = task.task().value();
                int slash = text.lastIndexOf('/');
                return new JobName(slash > 0 ? text.substring(0, slash) : text);
            };

    /** Returns the name of the job of a task. */
    JobName jobOf(TaskSpecification task);
}
