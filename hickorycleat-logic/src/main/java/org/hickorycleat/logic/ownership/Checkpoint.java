package org.hickorycleat.logic.ownership;

/**
 * A saved state of a task.
 *
 * @param name name by which the worker finds it
 * @param progressMs run time that it saves
 * @param savedMs wall-clock time at which it was reported
 */
public record Checkpoint(String name, long progressMs, long savedMs) {}
