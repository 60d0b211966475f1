package org.hickorycleat.logic.ownership;

/**
 * A saved state of a task.
 *
 * @param name name under which the worker stored it
 * @param progressMs run time covered by the checkpoint, in milliseconds
 * @param savedMs wall-clock time at which it was reported, in milliseconds since 1970
 */
public record Checkpoint(String name, long progressMs, long savedMs) {}
