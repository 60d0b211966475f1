package org.hickorycleat.logic.quarantine;

import org.hickorycleat.model.identifier.JobName;
import org.hickorycleat.model.identifier.TaskId;
import org.hickorycleat.model.identifier.WorkerId;

/**
 * Result of an attempt, used to decide whether its worker or its task is failing.
 *
 * @param task the task
 * @param job name of its job
 * @param worker the worker
 * @param failed whether it failed or was refused by the worker; otherwise it succeeded
 * @param endedMs time of the end
 */
public record AttemptEnd(TaskId task, JobName job, WorkerId worker, boolean failed, long endedMs) {}
