package org.hickorycleat.logic.dispatch;

import java.util.List;
import org.hickorycleat.model.job.JobQueue;

/**
 * The tasks of a step that can be placed now. All of them have the same order, and if there is no
 * worker for one, there is none for the others.
 *
 * @param queue queue of the job of the step
 * @param tasks ready tasks, in the order of their index; not empty
 */
record ReadyStep(TrackedStep step, JobQueue queue, List<TrackedTask> tasks) {}
