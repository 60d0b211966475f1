package org.hickorycleat.standins.worker;

import org.hickorycleat.model.task.TaskState;

/**
 * An event in the history of attempts that a worker keeps.
 *
 * @param atMs wall-clock time in milliseconds since 1970
 * @param event start, stop, end or expire
 * @param key the attempt
 * @param progressMs run time completed by the attempt, in milliseconds
 * @param state state of the attempt after the event
 */
public record AttemptEvent(
        long atMs, String event, AttemptKey key, long progressMs, TaskState state) {}
