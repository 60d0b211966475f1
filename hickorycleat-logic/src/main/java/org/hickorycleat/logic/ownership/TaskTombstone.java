package org.hickorycleat.logic.ownership;

import org.hickorycleat.model.identifier.TaskId;

/** What is kept of a task that has ended, so that it never runs again. */
public record TaskTombstone(TaskId task, TaskResult result) {}
