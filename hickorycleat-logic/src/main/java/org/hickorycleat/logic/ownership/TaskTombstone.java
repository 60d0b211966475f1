package org.hickorycleat.logic.ownership;

import org.hickorycleat.model.identifier.TaskId;

/** Record that is kept of an ended task so that it never runs again. */
public record TaskTombstone(TaskId task, TaskResult result) {}
