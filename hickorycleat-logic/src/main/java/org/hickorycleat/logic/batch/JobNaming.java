package org.hickorycleat.logic.batch;

import org.hickorycleat.model.identifier.JobName;
import org.hickorycleat.model.task.TaskSpecification;

/** Maps a task to the job that it is a run of; estimates from one run apply to the next. */
@FunctionalInterface
public interface JobNaming {
    /**
     * Uses the part of the task id before its last slash as the name of the job, or the whole id if
     * it has no slash.
     */
    JobNaming BEFORE_LAST_SLASH =
            task -> {
                String text = task.task().value();
                int slash = text.lastIndexOf('/');
                return new JobName(slash > 0 ? text.substring(0, slash) : text);
            };

    /** Returns the name of the job that a task belongs to. */
    JobName jobOf(TaskSpecification task);
}
