package org.hickorycleat.model.job;

import java.util.List;

/** Durable state of a job and of each of its tasks that has started. */
public record JobProgress(JobId id, JobState state, List<TaskProgress> tasks) {
    /** Copies the list. */
    public JobProgress {
        tasks = List.copyOf(tasks);
    }
}
