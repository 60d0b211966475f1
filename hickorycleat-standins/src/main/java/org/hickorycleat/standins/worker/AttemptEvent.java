package org.hickorycleat.standins.worker;

import org.hickorycleat.model.task.TaskState;

/**
 * An entry of the worker's own record.
 *
 * @param atMs wall clock
 * @param event start, stop, end or expire
 * @param key the attempt
 * @param progressMs run time reached
 * @param state state after the event
 */
public record AttemptEvent(
        long atMs, String event, AttemptKey key, long progressMs, TaskState state) {}
